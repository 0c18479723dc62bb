package io.bilberrylane.policy;

import java.util.List;

/**
 * What became of queued tickets.
 *
 * @param admitted tickets that now hold a slot
 * @param expired tickets that waited too long and were not run
 */
public record Settled(List<Ticket> admitted, List<Ticket> expired) {
    /** Copies the lists. */
    public Settled {
        admitted = List.copyOf(admitted);
        expired = List.copyOf(expired);
    }
}
