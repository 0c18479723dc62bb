package io.bilberrylane.node;

import io.bilberrylane.http.TargetPool;
import io.bilberrylane.policy.GateAdmission;
import java.util.Objects;

/**
 * The target beside a node while its announcement holds.
 *
 * @param announcement what it said of itself
 * @param admission which calls are in service; guarded by the gate's lock
 * @param pool connections to it
 */
record GateTarget(TargetAnnouncement announcement, GateAdmission admission, TargetPool pool) {
    GateTarget {
        Objects.requireNonNull(announcement, "announcement is null");
        Objects.requireNonNull(admission, "admission is null");
        Objects.requireNonNull(pool, "pool is null");
    }
}
