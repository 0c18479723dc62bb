package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses a target by the expected time until the response: the calls ahead, the target's last
 * reported speed weighted by the age of the report, and the network round trip.
 *
 * <p>Of many targets only a random sample is compared, and the best of it is chosen, so that many
 * ingresses with the same view do not all choose the same target. Not thread-safe.
 */
public final class TargetSelector {
    /** The number of targets of other data centres sampled for one choice. */
    static final int REMOTE_SAMPLE_SIZE = 8;

    /** The assumed service time of a target that has not reported one, in microseconds. */
    static final long DEFAULT_SERVICE_MICROS = 2_000;

    /** The minimum assumed round trip to another data centre, in microseconds. */
    static final long MIN_REMOTE_ROUND_TRIP_MICROS = 2_000;

    /**
     * The margin by which a target of another data centre must be better, as a fraction of the
     * call's objective.
     */
    static final double REMOTE_COST_FRACTION = 0.15;

    /**
     * How long a target gets no calls after its gate reported that it admits none, in nanoseconds.
     */
    static final long REFUSAL_VALID_NANOS = 1_000_000_000L;

    /** Time constant of the exponential decay of a speed report, in nanoseconds. */
    static final double SPEED_DECAY_NANOS = 60e6;

    /**
     * A target whose service time is at most this multiple of the mean counts as fast as the
     * others.
     */
    private static final double OUTLIER_FACTOR = 1.6;

    /** Time constant of the exponential decay of a load report, in nanoseconds. */
    private static final double LOAD_DECAY_NANOS = 150e6;

    /**
     * The additional cost of a full target over an empty one, as a fraction of the service time.
     */
    private static final double OCCUPANCY_COST = 0.1;

    private static final double FAILURE_COST = 5;

    /**
     * Failures up to this percentage add no cost, since the calls that a target makes itself fail
     * now and then at any target.
     */
    private static final double BASELINE_FAILURE_PERCENT = 20;

    /** Costs that differ by less than this fraction count as equal. */
    private static final double JITTER = 0.05;

    private final String mDataCentre;
    private final LoadTable mLoads;
    private final Distances mDistances;
    private final Random mRandom;

    private TargetSelector(
            final String dataCentre,
            final LoadTable loads,
            final Distances distances,
            final Random random) {
        mDataCentre = dataCentre;
        mLoads = loads;
        mDistances = distances;
        mRandom = random;
    }

    /**
     * Returns a selector.
     *
     * @param dataCentre the ingress's own data centre
     * @param loads the loads of targets as known to the ingress
     * @param random the source of randomness for samples
     * @return the selector
     */
    public static TargetSelector of(
            final String dataCentre, final LoadTable loads, final Random random) {
        return of(dataCentre, loads, Distances.unknown(), random);
    }

    /**
     * Returns a selector that knows distances between data centres.
     *
     * @param dataCentre the ingress's own data centre
     * @param loads the loads of targets as known to the ingress
     * @param distances the distances to other data centres
     * @param random the source of randomness for samples
     * @return the selector
     */
    public static TargetSelector of(
            final String dataCentre,
            final LoadTable loads,
            final Distances distances,
            final Random random) {
        return new TargetSelector(
                Objects.requireNonNull(dataCentre, "dataCentre is null"),
                Objects.requireNonNull(loads, "loads is null"),
                Objects.requireNonNull(distances, "distances is null"),
                Objects.requireNonNull(random, "random is null"));
    }

    /**
     * Returns the target for a call.
     *
     * @param candidates the targets of the service that are in service
     * @param excluded the hosts that must not be chosen, such as those already tried
     * @param criteria the selection criteria of the call
     * @param nowNanos the monotonic clock
     * @return the choice, or empty if no candidate is left
     */
    public Optional<Candidate> choose(
            final List<Candidate> candidates,
            final Collection<String> excluded,
            final SelectionCriteria criteria,
            final long nowNanos) {
        final List<Candidate> local = new ArrayList<>();
        final List<Candidate> remote = new ArrayList<>();
        boolean localAccepts = false;
        for (final Candidate candidate : candidates) {
            if (!isAccepting(candidate, nowNanos)) {
                continue;
            }
            final boolean isLocal = candidate.dataCentre().equals(mDataCentre);
            localAccepts |= isLocal;
            if (!excluded.contains(candidate.host())) {
                (isLocal ? local : remote).add(candidate);
            }
        }
        final double meanMicros =
                mLoads.meanServiceMicros(candidates, criteria.route())
                        .orElse(DEFAULT_SERVICE_MICROS);
        Candidate best = best(local, local.size(), null, criteria, meanMicros, nowNanos);
        if (!localAccepts || criteria.remoteAllowed() && !criteria.localOnly()) {
            best = best(remote, REMOTE_SAMPLE_SIZE, best, criteria, meanMicros, nowNanos);
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the expected time until a call at a target would be answered.
     *
     * @param candidate the target
     * @param criteria the selection criteria of the call
     * @param nowNanos the monotonic clock
     * @return microseconds
     */
    public double costMicros(
            final Candidate candidate, final SelectionCriteria criteria, final long nowNanos) {
        return costMicros(candidate, criteria, DEFAULT_SERVICE_MICROS, nowNanos);
    }

    private double costMicros(
            final Candidate candidate,
            final SelectionCriteria criteria,
            final double meanMicros,
            final long nowNanos) {
        final double networkMicros = networkMicros(candidate, criteria);
        final Optional<TargetLoad> load = mLoads.estimate(candidate.host());
        if (load.isEmpty()) {
            final int outstanding = mLoads.outstanding(candidate.host());
            return networkMicros + meanMicros * (1.0 + outstanding);
        }
        final TargetLoad known = load.get();
        final long reportedMicros = mLoads.serviceMicros(candidate.host(), criteria.route());
        final boolean isOutlier = reportedMicros > meanMicros * OUTLIER_FACTOR;
        final double serviceMicros =
                (isOutlier ? reportedMicros : meanMicros) * speedFactor(candidate, nowNanos);
        final double allowance = Math.max(1, known.allowance());
        final double freshness =
                Math.exp(-mLoads.ageNanos(candidate.host(), nowNanos) / LOAD_DECAY_NANOS);
        final double callsAhead =
                Math.max(0, known.inFlight() + known.queued() + 1 - allowance) * freshness;
        final double occupancyCost = OCCUPANCY_COST * known.inFlight() / allowance * freshness;
        return networkMicros
                + serviceMicros
                        * (1 + occupancyCost + callsAhead / allowance)
                        * failureFactor(known);
    }

    private double networkMicros(final Candidate candidate, final SelectionCriteria criteria) {
        if (candidate.dataCentre().equals(mDataCentre)) {
            return 0;
        }
        final double marginMicros =
                Math.max(
                        MIN_REMOTE_ROUND_TRIP_MICROS,
                        criteria.objectiveMicros() * REMOTE_COST_FRACTION);
        return criteria.placement().measured()
                ? mDistances.costMicros(candidate.dataCentre(), criteria.placement(), marginMicros)
                : marginMicros;
    }

    /** Returns the cost factor for a target's failures; 1 up to the baseline. */
    private static double failureFactor(final TargetLoad load) {
        final double aboveBaseline = load.failurePercent() - BASELINE_FAILURE_PERCENT;
        return 1 + FAILURE_COST * Math.min(1, Math.max(0, aboveBaseline) / 50.0);
    }

    // -- choice

    private double speedFactor(final Candidate candidate, final long nowNanos) {
        final double reportedFactor = mLoads.speedPercent(candidate.host()) / 100.0;
        final double ageNanos = mLoads.ageNanos(candidate.host(), nowNanos);
        return 1 + (reportedFactor - 1) * Math.exp(-ageNanos / SPEED_DECAY_NANOS);
    }

    private boolean isAccepting(final Candidate candidate, final long nowNanos) {
        return mLoads.isAccepting(candidate.host())
                || mLoads.ageNanos(candidate.host(), nowNanos) > REFUSAL_VALID_NANOS;
    }

    private Candidate best(
            final List<Candidate> candidates,
            final int sampleSize,
            final Candidate initial,
            final SelectionCriteria criteria,
            final double meanMicros,
            final long nowNanos) {
        Candidate best = initial;
        double lowestCost =
                best == null ? Double.MAX_VALUE : costMicros(best, criteria, meanMicros, nowNanos);
        for (int i = 0; i < Math.min(sampleSize, candidates.size()); i++) {
            final Candidate sampled =
                    candidates.size() <= sampleSize
                            ? candidates.get(i)
                            : candidates.get(mRandom.nextInt(candidates.size()));
            final double cost =
                    costMicros(sampled, criteria, meanMicros, nowNanos)
                            * (1 + JITTER * mRandom.nextDouble());
            if (best == null || cost < lowestCost) {
                best = sampled;
                lowestCost = cost;
            }
        }
        return best;
    }
}
