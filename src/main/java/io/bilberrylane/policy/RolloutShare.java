package io.bilberrylane.policy;

/**
 * Decides which calls of one ingress go to the version on trial. The share accumulates from a
 * random first value, so that a fleet of ingresses with few calls each sends the share in sum and
 * not one call each at once. Not thread-safe.
 */
public final class RolloutShare {
    /** Bounds the calls that an ingress sends one after the other, if it had kept its share. */
    private static final double MAX_CREDIT = 2;

    private double mCredit;

    /**
     * Creates a share that has accumulated nothing but its first value.
     *
     * @param firstCredit a random value from 0 to 1
     */
    public RolloutShare(final double firstCredit) {
        mCredit = firstCredit;
    }

    /**
     * Accounts for one call.
     *
     * @param share the share of calls that go to the version on trial
     * @param isNeeded whether the version needs a call like this; its share is kept for one that it
     *     needs otherwise
     * @return whether this call goes there
     */
    public boolean take(final double share, final boolean isNeeded) {
        mCredit = Math.min(MAX_CREDIT, mCredit + share);
        if (!isNeeded || mCredit < 1) {
            return false;
        }
        mCredit -= 1;
        return true;
    }
}
