package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * The recent service time of each organisation, relative to its fair share. Service time decays, so
 * that a share that an organisation does not use is lent to the others and never claimed back. Not
 * thread-safe.
 */
public final class ServiceShares {
    /**
     * Time constant of the decay, in nanoseconds: longer than the bursts that organisations send,
     * and short enough that an organisation regains its share soon after a burst.
     */
    private static final double DECAY_NANOS = 5e9;

    private static final int MAX_ORGANISATIONS = 1_024;

    private record Usage(double serviceNanos, long atNanos) {
        private double at(final long nowNanos) {
            return serviceNanos * Math.exp(-Math.max(0, nowNanos - atNanos) / DECAY_NANOS);
        }
    }

    private final Map<String, Usage> mUsage = new HashMap<>();

    private ServiceShares() {}

    /**
     * Returns shares without usage.
     *
     * @return empty shares
     */
    public static ServiceShares none() {
        return new ServiceShares();
    }

    /**
     * Returns the recent service time of an organisation relative to its fair share.
     *
     * @param origin the organisation and its share
     * @param nowNanos the monotonic clock
     * @return nanoseconds per unit of share; 0 if it had none
     */
    public double load(final CallOrigin origin, final long nowNanos) {
        final Usage usage = mUsage.get(origin.organisation());
        return usage == null ? 0 : usage.at(nowNanos) / origin.fairShare();
    }

    /**
     * Charges service time to an organisation.
     *
     * @param origin the organisation
     * @param serviceNanos the service time; negative if less was used than charged before
     * @param nowNanos the monotonic clock
     */
    public void charge(final CallOrigin origin, final double serviceNanos, final long nowNanos) {
        final Usage usage = mUsage.get(origin.organisation());
        if (usage == null && mUsage.size() >= MAX_ORGANISATIONS) {
            mUsage.values().removeIf(entry -> entry.at(nowNanos) < entry.serviceNanos() / 2);
            if (mUsage.size() >= MAX_ORGANISATIONS) {
                mUsage.clear();
            }
        }
        final double before = usage == null ? 0 : usage.at(nowNanos);
        mUsage.put(origin.organisation(), new Usage(Math.max(0, before + serviceNanos), nowNanos));
    }
}
