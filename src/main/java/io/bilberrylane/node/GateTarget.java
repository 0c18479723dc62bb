package io.bilberrylane.node;

import io.bilberrylane.http.TargetConnectionPool;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.policy.GateAdmission;
import java.util.Objects;

/**
 * The target beside a node while the lease of its announcement has not expired.
 *
 * @param announcement the newest announcement
 * @param admission the calls in service and in the queue
 * @param pool the connections to the target
 * @param prober probes the target's speed
 * @param isLeaving whether the target has announced that it leaves permanently
 */
record GateTarget(
        TargetAnnouncement announcement,
        GateAdmission admission,
        TargetConnectionPool pool,
        TargetProber prober,
        boolean isLeaving) {
    GateTarget {
        Objects.requireNonNull(announcement, "announcement is null");
        Objects.requireNonNull(admission, "admission is null");
        Objects.requireNonNull(pool, "pool is null");
    }

    GateTarget asLeaving() {
        return new GateTarget(announcement, admission, pool, prober, true);
    }
}
