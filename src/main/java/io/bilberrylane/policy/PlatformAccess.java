package io.bilberrylane.policy;

/**
 * Decides whether a node can read the platform, by what becomes of its probes, and when the next
 * probe is due. One failure proves nothing, as a connection may have been cut; it is confirmed at
 * once.
 *
 * <p>Load pattern: the platform turns some nodes away, or their path to it is silent, while it
 * serves the others. Not thread-safe.
 */
public final class PlatformAccess {
    private static final int FAILURES_WITHOUT_ACCESS = 2;

    /** A platform that answers a node now and then is not worth a watch there. */
    private static final int ANSWERS_WITH_ACCESS = 2;

    private static final long INTERVAL_MILLIS = 400;
    private static final long CONFIRMATION_MILLIS = 50;
    private static final long RECOVERY_INTERVAL_MILLIS = 1_000;

    private boolean mReadable = true;
    private int mConsecutiveFailures;
    private int mConsecutiveAnswers;

    private PlatformAccess() {}

    /**
     * Returns the access of a node that has not tried.
     *
     * @return the access
     */
    public static PlatformAccess untried() {
        return new PlatformAccess();
    }

    /**
     * Returns whether the node can read the platform, as far as it has tried.
     *
     * @return false while the platform does not answer
     */
    public boolean isReadable() {
        return mReadable;
    }

    /**
     * Returns the time until the next probe.
     *
     * @return the delay after the end of the last probe, in milliseconds
     */
    public long probeDelayMillis() {
        if (!mReadable) {
            return RECOVERY_INTERVAL_MILLIS;
        }
        return mConsecutiveFailures > 0 ? CONFIRMATION_MILLIS : INTERVAL_MILLIS;
    }

    /** Records a probe that the platform has answered. */
    public void recordAnswer() {
        mConsecutiveFailures = 0;
        mConsecutiveAnswers++;
        mReadable |= mConsecutiveAnswers >= ANSWERS_WITH_ACCESS;
    }

    /** Records a probe that was refused or whose connection was cut. */
    public void recordFailure() {
        mConsecutiveAnswers = 0;
        mConsecutiveFailures++;
        mReadable &= mConsecutiveFailures < FAILURES_WITHOUT_ACCESS;
    }

    /** Records a probe that was not answered within the time that the platform takes. */
    public void recordSilence() {
        mConsecutiveAnswers = 0;
        mReadable = false;
    }
}
