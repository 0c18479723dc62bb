package io.bilberrylane.standin;

/**
 * The faults of the platform stand-in.
 *
 * @param down whether each request has its connection closed without a response; the connections of
 *     open watches are closed when the faults are set
 * @param slowMillis the delay before each request is served, in milliseconds; 0 for none
 * @param losePercent the share of writes whose response is lost after they took effect, in percent
 * @param cutWatches whether the connections of all watches are closed when the faults are set, and
 *     those of new watches while the faults last
 * @param writesPerSecond the maximum number of writes per second; 0 if unlimited
 * @param readsPerSecond the maximum number of reads and watches per second; 0 if unlimited
 */
public record PlatformFaults(
        boolean down,
        long slowMillis,
        int losePercent,
        boolean cutWatches,
        int writesPerSecond,
        int readsPerSecond) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0, 0);
}
