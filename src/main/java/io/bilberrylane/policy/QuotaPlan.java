package io.bilberrylane.policy;

/**
 * How the limit of one organisation is divided among its owners and the nodes of the fleet.
 *
 * <p>A call that a target receives within a window was granted in that window, or before it by at
 * most the validity of an allowance and the time in queues. So the bound holds if the owners grant
 * no more than {@code owners * partCalls} in any span of that length, and {@code owners * partCalls
 * + nodes * floor < QuotaBounds.maxCalls}.
 *
 * @param owners the number of owners, each of which has an equal part of the limit
 * @param partCalls the calls that one owner grants in any span
 * @param partRate the tokens that the bucket of one owner gains, per second
 * @param partCapacity the tokens that the bucket of one owner holds at most
 * @param leaseNanos how long an allowance is valid after it was requested, in nanoseconds
 * @param floor the calls per window that each node may make while no owner replies
 * @param windowNanos the window over which calls are counted, in nanoseconds
 * @param spanNanos the window, the validity of an allowance and the time in queues together, in
 *     nanoseconds
 * @param reserve the calls of the bound in any window that neither the owners grant nor the floors
 *     take
 */
public record QuotaPlan(
        int owners,
        double partCalls,
        double partRate,
        double partCapacity,
        long leaseNanos,
        int floor,
        long windowNanos,
        long spanNanos,
        double reserve) {
    /**
     * More owners leave more of the limit usable when one of them dies: with four, three quarters,
     * which is above the usual demand.
     */
    private static final int MAX_OWNERS = 4;

    /** A bucket with fewer tokens loses what it gains between two requests. */
    private static final double MIN_PART_CAPACITY = 1.5;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * An allowance is valid for as long as the full rate can then be granted: a longer one costs
     * fewer requests.
     */
    private static final double MIN_LEASE_SECONDS = 0.25;

    private static final double MAX_LEASE_SECONDS = 1;

    /** The fraction of the tolerance that is deducted for the floors of all nodes. */
    private static final double FLOOR_FRACTION = 0.15;

    /**
     * The fraction of the tolerance that is left for calls that wait longer in queues, and for
     * owners that are replaced before they know it.
     */
    private static final double RESERVE_FRACTION = 0.15;

    /** The longest time from the expiry of a token to the arrival of its call. */
    public static final long QUEUEING_NANOS = 200_000_000L;

    /**
     * The buckets together gain more than the rate, because some allowances lapse unused. Where the
     * bound does not permit it they gain what {@link #STEADY_FRACTION} leaves.
     */
    private static final double RATE_FACTOR = 1.1;

    /** The part of the calls in a span that a steady demand above the limit gets. */
    private static final double STEADY_FRACTION = 0.97;

    /** The capacity of the buckets besides the burst, as a part of the calls of a window. */
    private static final double CAPACITY_FRACTION = 0.12;

    /** The capacity of the buckets besides that, as a part of the slack. */
    private static final double SLACK_FRACTION = 0.9;

    private static final double MIN_CAPACITY = 2;

    /** A process serves this long after its start at the earliest. */
    private static final double MIN_START_SECONDS = 0.6;

    /** After a loss of power everywhere, no process starts before this time has passed. */
    private static final double MIN_OUTAGE_SECONDS = 0.5;

    /**
     * Returns the plan for a limit.
     *
     * @param ratePerSecond the organisation's rate, in calls per second
     * @param burst the calls in addition to the rate
     * @param bounds how far the limit may be exceeded
     * @param nodes the number of known nodes, at least 1
     * @return the plan
     */
    public static QuotaPlan of(
            final double ratePerSecond,
            final double burst,
            final QuotaBounds bounds,
            final int nodes) {
        final double windowSeconds = bounds.windowMillis() / 1_000.0;
        final double maxCalls = bounds.maxCalls(ratePerSecond, burst);
        final double tolerance = maxCalls - ratePerSecond * windowSeconds - burst;
        final int floor = (int) (FLOOR_FRACTION * tolerance / Math.max(1, nodes));
        final double reserve = RESERVE_FRACTION * tolerance;
        final double calls = maxCalls - reserve - (double) floor * nodes;
        final double queueingSeconds = QUEUEING_NANOS / NANOS_PER_SECOND;
        final double longestSpan =
                calls * STEADY_FRACTION / Math.max(ratePerSecond * RATE_FACTOR, 1e-9);
        final double leaseSeconds =
                Math.clamp(
                        longestSpan - windowSeconds - queueingSeconds,
                        MIN_LEASE_SECONDS,
                        MAX_LEASE_SECONDS);
        final double spanSeconds = windowSeconds + leaseSeconds + queueingSeconds;
        final double rate =
                Math.min(ratePerSecond * RATE_FACTOR, calls * STEADY_FRACTION / spanSeconds);
        final double capacity =
                Math.min(
                        calls,
                        Math.max(
                                MIN_CAPACITY,
                                burst
                                        + CAPACITY_FRACTION * ratePerSecond * windowSeconds
                                        + SLACK_FRACTION * bounds.slack()));
        final int owners =
                (int) Math.clamp(capacity / MIN_PART_CAPACITY, 1, Math.min(MAX_OWNERS, nodes));
        return new QuotaPlan(
                owners,
                calls / owners,
                rate / owners,
                capacity / owners,
                toNanos(leaseSeconds),
                floor,
                toNanos(windowSeconds),
                toNanos(spanSeconds),
                reserve);
    }

    /**
     * Returns the tokens with which the bucket of an owner begins that has just been started; below
     * zero, it owes them. Each of the targets may have received, in the window up to the end of the
     * former processes, all calls that these had granted.
     *
     * <p>The first term keeps the bound if all processes end at once, the second one if only this
     * owner does. The owners begin with different fractions of a token, so that they have the first
     * whole ones one after the other; together they grant no more whole tokens by any time than one
     * bucket does.
     *
     * @param rank the position of the owner among the owners, from 0
     * @return the tokens
     */
    double startTokens(final int rank) {
        final double spanSeconds = spanNanos / NANOS_PER_SECOND;
        final double grantedBefore = partCalls - partCapacity;
        final double allStarted =
                grantedBefore
                        + reserve / owners
                        - partRate * (spanSeconds - MIN_OUTAGE_SECONDS - MIN_START_SECONDS);
        final double oneStarted =
                grantedBefore + reserve - partRate * (spanSeconds - MIN_START_SECONDS);
        return Math.min(Math.min(0, allStarted) + (double) rank / owners, oneStarted);
    }

    private static long toNanos(final double seconds) {
        return Math.round(seconds * NANOS_PER_SECOND);
    }
}
