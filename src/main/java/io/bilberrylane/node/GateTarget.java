package io.bilberrylane.node;

import io.bilberrylane.http.TargetConnectionPool;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.policy.GateAdmission;
import java.util.Objects;

/**
 * The target beside a node while its announcement holds.
 *
 * @param announcement the newest announcement
 * @param admission which calls are in service
 * @param pool its connections
 * @param prober asks it for its speed
 * @param isLeaving whether it has said that it leaves for good
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
