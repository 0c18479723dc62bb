package io.bilberrylane.policy;

/**
 * The time after which a caller that was refused for lack of capacity should send its request
 * again. Callers return in steps, the most urgent first, so that they form no second burst.
 */
final class RetryTimes {
    private static final int STEPS = 4;

    /** No caller returns before its timeout divided by this. */
    private static final double MIN_TIMEOUT_FRACTION = 0.1;

    /**
     * The last step ends at this fraction of the timeout. Callers wait at most a third of the time
     * that they have left, which is 2 to 3 timeouts at first.
     */
    private static final double MAX_TIMEOUT_FRACTION = 0.5;

    private RetryTimes() {}

    /**
     * Returns the time to wait.
     *
     * @param timeoutMillis the timeout of the call, in milliseconds
     * @param drainMillis the time until the work that waits is done, in milliseconds
     * @param position the position among the calls that are refused, from 0 for the most urgent to
     *     1
     * @param random a random number from 0 (inclusive) to 1 (exclusive), which spreads the callers
     *     of one step
     */
    static long millis(
            final long timeoutMillis,
            final double drainMillis,
            final double position,
            final double random) {
        final double lastMillis = timeoutMillis * MAX_TIMEOUT_FRACTION;
        final double earliestMillis = timeoutMillis * MIN_TIMEOUT_FRACTION;
        final double firstMillis =
                Math.min(Math.max(earliestMillis, drainMillis), (earliestMillis + lastMillis) / 2);
        final double stepMillis = (lastMillis - firstMillis) / STEPS;
        final int step = (int) Math.min(STEPS - 1, Math.max(0, position) * STEPS);
        return Math.round(firstMillis + stepMillis * (step + random));
    }
}
