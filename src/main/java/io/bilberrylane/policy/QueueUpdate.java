package io.bilberrylane.policy;

import java.util.List;

/**
 * The queued calls whose state changed.
 *
 * @param admitted requests of calls that now hold a slot
 * @param expired requests of calls that waited too long and were not run
 */
public record QueueUpdate(List<AdmissionRequest> admitted, List<AdmissionRequest> expired) {
    /** No call changes its state. */
    public static final QueueUpdate NONE = new QueueUpdate(List.of(), List.of());

    /** Copies the lists. */
    public QueueUpdate {
        admitted = List.copyOf(admitted);
        expired = List.copyOf(expired);
    }
}
