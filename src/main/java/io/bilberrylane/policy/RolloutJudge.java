package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Compares the call ends of a new version with those of the old one, route by route and over all
 * routes, with cumulative sums of log-likelihood ratios ({@link RouteEvidence}). Not thread-safe.
 *
 * <p>A sum of independent ends of a good version exceeds {@code h} in one visit with a probability
 * below {@code e^-h}: with {@value #FAILURE_LIMIT} for failures and 300 calls on trial, in less
 * than 1 of 180 roll-outs even if the version fails as often as the assumed base rate.
 */
public final class RolloutJudge {
    static final double FAILURE_LIMIT = 10.9;

    /** Slow responses also come from the machines, in bursts; errors do not. */
    static final double SLOW_LIMIT = 10;

    /** A version whose sums are above this part of the limits is not trusted yet. */
    private static final double CLEAR_PART = 0.3;

    private static final double MAX_CLEAR_PART = 0.6;

    /**
     * The evidence that a route must show for a good version, as a log-likelihood ratio: eighteen
     * good calls in a row. Fifteen promoted 3 of 1000 versions that were slow on one route.
     */
    private static final double TRUST_LIMIT = 6;

    /** What one of the calls that are expected on the route has to show, up to the limit. */
    private static final double TRUST_PER_CALL = 0.2;

    /**
     * What a route has to show at a strictness of 0. Near the deadline a route on which both
     * versions fail is judged by what is likelier; a higher value stops more good versions then.
     */
    private static final double LEAST_TRUST = -3;

    /** Routes with fewer calls on trial than this are not waited for. */
    private static final double MIN_TRUST_CALLS = 4;

    /**
     * The part of the older counts of the old version that remains after one second in which it
     * gets calls. They are kept while all calls go to the new version.
     */
    private static final double BASELINE_RETENTION_PER_SECOND = 0.7;

    private final Map<Integer, RouteEvidence> mRoutes = new HashMap<>();
    private final RouteEvidence mAll = new RouteEvidence();
    private long mLastNanos;
    private long mOldEnded;
    private String mFinding = "";

    /**
     * Takes the newest sums over all gates.
     *
     * @param ledger the rows of the gates
     * @param version the new version
     * @param nowNanos the monotonic clock
     * @return what is wrong with the new version; empty if nothing was found
     */
    public Optional<String> update(
            final RolloutLedger ledger, final String version, final long nowNanos) {
        final Map<Integer, RouteCounts> newVersion = ledger.totals(version, true);
        final Map<Integer, RouteCounts> oldVersion = ledger.totals(version, false);
        final double retention = retention(nowNanos);
        final long oldEnded = oldVersion.values().stream().mapToLong(RouteCounts::ended).sum();
        if (oldEnded > mOldEnded) {
            mAll.decay(retention);
        }
        mOldEnded = oldEnded;
        final Set<Integer> routes = new TreeSet<>(oldVersion.keySet());
        routes.addAll(newVersion.keySet());
        for (final int route : routes) {
            final RouteCounts none = RouteCounts.none(route);
            read(
                    newVersion.getOrDefault(route, none),
                    oldVersion.getOrDefault(route, none),
                    retention);
        }
        judge(mAll, "all routes");
        mRoutes.forEach((route, evidence) -> judge(evidence, "route " + route));
        return mFinding.isEmpty() ? Optional.empty() : Optional.of(mFinding);
    }

    private double retention(final long nowNanos) {
        final double seconds = mLastNanos == 0 ? 0 : (nowNanos - mLastNanos) / 1e9;
        mLastNanos = nowNanos;
        return Math.pow(BASELINE_RETENTION_PER_SECOND, seconds);
    }

    private void read(
            final RouteCounts newCounts, final RouteCounts oldCounts, final double retention) {
        final RouteEvidence evidence =
                mRoutes.computeIfAbsent(oldCounts.route(), key -> new RouteEvidence());
        final CallGrowth growth = evidence.read(newCounts, oldCounts, retention);
        evidence.add(growth, true);
        // A route on which the old version fails most calls must not weigh in the sums over all
        // routes by how often it happens to be on trial.
        mAll.add(growth, evidence.judgesFailures());
    }

    private void judge(final RouteEvidence evidence, final String place) {
        if (!mFinding.isEmpty()) {
            return;
        }
        if (evidence.failureSum() >= FAILURE_LIMIT) {
            mFinding = "failures on " + place;
        } else if (evidence.slowSum() >= SLOW_LIMIT) {
            mFinding = "slow responses on " + place;
        }
    }

    /**
     * Returns the routes on which the new version has not shown that it is good.
     *
     * @param trialShare the share of calls that the new version gets
     * @param strictness the part of the evidence that is required, from 0 to 1
     * @return the routes
     */
    public Set<Integer> unclearRoutes(final double trialShare, final double strictness) {
        final Set<Integer> unclear = new TreeSet<>();
        mRoutes.forEach(
                (route, evidence) -> {
                    final double expected = trialShare * evidence.oldEnded();
                    if (!isBelowLimits(evidence, strictness)
                            || expected >= MIN_TRUST_CALLS
                                    && evidence.trust() < neededTrust(expected, strictness)) {
                        unclear.add(route);
                    }
                });
        return unclear;
    }

    private static double neededTrust(final double expected, final double strictness) {
        final double needed = Math.min(TRUST_LIMIT, TRUST_PER_CALL * expected);
        return LEAST_TRUST + (needed - LEAST_TRUST) * strictness;
    }

    /**
     * Returns whether nothing points at a fault of the new version.
     *
     * @param strictness 1 if one failure counts, 0 if it takes most of the limit
     * @return true if every sum is far below its limit
     */
    public boolean isClear(final double strictness) {
        return mFinding.isEmpty() && isBelowLimits(mAll, strictness);
    }

    private static boolean isBelowLimits(final RouteEvidence evidence, final double strictness) {
        final double part = CLEAR_PART + (MAX_CLEAR_PART - CLEAR_PART) * (1 - strictness);
        return evidence.failureSum() < FAILURE_LIMIT * part
                && evidence.slowSum() < SLOW_LIMIT * part;
    }
}
