package io.bilberrylane.standin;

/**
 * How the platform stand-in misbehaves.
 *
 * @param down whether no call is answered and watches are cut
 * @param slowMillis delay of each answer, in milliseconds
 * @param losePercent share of writes whose answer is lost after they took effect, in percent
 * @param cutWatches whether all watches are cut once, now
 * @param writesPerSecond writes accepted in one second; 0 without a limit
 * @param readsPerSecond reads accepted in one second; 0 without a limit
 */
public record PlatformFaults(
        boolean down,
        long slowMillis,
        int losePercent,
        boolean cutWatches,
        int writesPerSecond,
        int readsPerSecond) {
    /** No faults at all. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, false, 0, 0);
}
