package io.bilberrylane.policy;

import java.util.List;

/**
 * What became of queued tickets.
 *
 * @param admitted tickets that now hold a slot
 * @param expired tickets that waited too long and were not run
 */
public record QueueUpdate(List<AdmissionRequest> admitted, List<AdmissionRequest> expired) {
    /** Copies the lists. */
    public QueueUpdate {
        admitted = List.copyOf(admitted);
        expired = List.copyOf(expired);
    }
}
