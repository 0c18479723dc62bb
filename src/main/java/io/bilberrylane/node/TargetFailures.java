package io.bilberrylane.node;

import io.bilberrylane.base.RankedLock;
import io.bilberrylane.http.ConnectionLimitException;
import io.bilberrylane.http.TargetConnection;
import io.bilberrylane.membership.TargetAnnouncement;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.CallHead;
import java.util.function.Supplier;

/** Notifies the crash detector of broken connections and of targets that are gone. */
final class TargetFailures {
    private final Transport mTransport;
    private final Supplier<NodeSettings> mSettings;
    private final RankedLock mAdmissionLock;
    private volatile CrashDetector mCrashDetector;

    /**
     * Creates a notifier that has no detector yet.
     *
     * @param admissionLock the lock of the admission state of targets
     */
    TargetFailures(
            final Transport transport,
            final Supplier<NodeSettings> settings,
            final RankedLock admissionLock) {
        mTransport = transport;
        mSettings = settings;
        mAdmissionLock = admissionLock;
    }

    /** Sets the detector that is notified. */
    void setCrashDetector(final CrashDetector crashDetector) {
        mCrashDetector = crashDetector;
    }

    /**
     * Notifies the crash detector that a call's connection broke before the target answered, and
     * checks whether the target is still reachable.
     */
    void onConnectionBroken(final CallHead head, final GateTarget target) {
        final CrashDetector crashDetector = mCrashDetector;
        if (crashDetector != null) {
            crashDetector.onConnectionBroken(
                    CrashDetector.fingerprint(head, callerServiceField()),
                    processOf(target.announcement()));
            checkReachable(target);
        }
    }

    /**
     * Checks immediately, rather than with the next call, whether the target still accepts
     * connections.
     */
    private void checkReachable(final GateTarget target) {
        target.pool()
                .acquire(
                        mTransport.currentOrAnyLoop(),
                        0,
                        TargetConnection::release,
                        cause -> onConnectFailed(target, cause));
    }

    /** A failure for want of a free connection tells nothing about the target. */
    void onConnectFailed(final GateTarget target, final Throwable cause) {
        if (!(cause instanceof ConnectionLimitException)) {
            onTargetGone(target);
        }
    }

    /**
     * Marks the target's cold state as unknown and notifies the crash detector. Called when the
     * target accepts no connection, was replaced or did not renew its announcement.
     */
    void onTargetGone(final GateTarget target) {
        mAdmissionLock.run(target.admission()::markColdStateUnknown);
        final CrashDetector crashDetector = mCrashDetector;
        if (crashDetector != null) {
            crashDetector.onTargetGone(processOf(target.announcement()));
        }
    }

    /** Returns whether the call is one of those that have crashed targets. */
    boolean isQuarantined(final CallHead head) {
        final CrashDetector crashDetector = mCrashDetector;
        return crashDetector != null && crashDetector.isBlocked(head, callerServiceField());
    }

    private String callerServiceField() {
        return mSettings.get().profile().names().callerService();
    }

    /** Returns a name of a target's process that is unique in the fleet. */
    private String processOf(final TargetAnnouncement announcement) {
        return announcement.id() + "@" + mSettings.get().host() + ":" + announcement.incarnation();
    }
}
