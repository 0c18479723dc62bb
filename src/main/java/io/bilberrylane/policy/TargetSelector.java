package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses a target by expected time to the answer: the work ahead of a call, the target's speed as
 * far as it is still known, and the way there and back.
 *
 * <p>Of many targets only some are drawn and the best of them is taken, so that many ingresses with
 * the same view do not all choose the same target. Not thread-safe.
 */
public final class TargetSelector {
    /** Targets of other data centres drawn for one choice. */
    static final int DRAWN = 8;

    /** Assumed service time of a target that never told one, in microseconds. */
    static final long DEFAULT_SERVICE_MICROS = 2_000;

    /** Least assumed time to another data centre and back, in microseconds. */
    static final long REMOTE_ROUND_TRIP_MICROS = 2_000;

    /** What another data centre must be better by, as a part of the call's objective. */
    static final double REMOTE_OBJECTIVE_PART = 0.15;

    /** A gate that admitted nothing is left alone for this long, in nanoseconds. */
    static final long REFUSAL_TRUST_NANOS = 1_000_000_000L;

    /** How fast news of a target's speed loses its worth, in nanoseconds. */
    static final double SPEED_FADE_NANOS = 60e6;

    /** A target whose calls take less than this many times the usual is as good as the others. */
    private static final double UNUSUAL_FACTOR = 1.6;

    /** How fast news of a target's load loses its worth, in nanoseconds. */
    private static final double LOAD_FADE_NANOS = 150e6;

    /** What a full target costs more than an empty one, as a part of the service time. */
    private static final double CROWD_COST = 0.1;

    private static final double FAILURE_COST = 5;

    /** Calls that a target makes itself fail now and then, whatever the target. */
    private static final double USUAL_FAILURE_PERCENT = 20;

    /** Costs that differ by less are as good as equal, as a part. */
    private static final double JITTER = 0.05;

    private final String mDataCentre;
    private final LoadTable mLoads;
    private final Random mRandom;

    private TargetSelector(final String dataCentre, final LoadTable loads, final Random random) {
        mDataCentre = dataCentre;
        mLoads = loads;
        mRandom = random;
    }

    /**
     * Returns a selector.
     *
     * @param dataCentre the ingress's own data centre
     * @param loads what the ingress knows of targets
     * @param random draws targets
     * @return the selector
     */
    public static TargetSelector of(
            final String dataCentre, final LoadTable loads, final Random random) {
        return new TargetSelector(
                Objects.requireNonNull(dataCentre, "dataCentre is null"),
                Objects.requireNonNull(loads, "loads is null"),
                Objects.requireNonNull(random, "random is null"));
    }

    /**
     * Returns the target for a call.
     *
     * @param candidates targets of the service that are in service
     * @param excluded hosts that were tried before
     * @param need what the call needs
     * @param nowNanos the monotonic clock
     * @return the choice, or nothing when no candidate is left
     */
    public Optional<Candidate> choose(
            final List<Candidate> candidates,
            final Collection<String> excluded,
            final CallNeed need,
            final long nowNanos) {
        final List<Candidate> near = new ArrayList<>();
        final List<Candidate> far = new ArrayList<>();
        boolean nearAccepts = false;
        for (final Candidate candidate : candidates) {
            if (!isAccepting(candidate, nowNanos)) {
                continue;
            }
            final boolean isNear = candidate.dataCentre().equals(mDataCentre);
            nearAccepts |= isNear;
            if (!excluded.contains(candidate.host())) {
                (isNear ? near : far).add(candidate);
            }
        }
        final double usual =
                mLoads.usualMicros(candidates, need.route()).orElse(DEFAULT_SERVICE_MICROS);
        Candidate best = best(near, near.size(), null, need, usual, nowNanos);
        if (!nearAccepts || need.mayGoFar() && !need.staysNear()) {
            best = best(far, DRAWN, best, need, usual, nowNanos);
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the expected time until a call at a target would be answered.
     *
     * @param candidate the target
     * @param need what the call needs
     * @param nowNanos the monotonic clock
     * @return microseconds
     */
    public double costMicros(final Candidate candidate, final CallNeed need, final long nowNanos) {
        return costMicros(candidate, need, DEFAULT_SERVICE_MICROS, nowNanos);
    }

    private double costMicros(
            final Candidate candidate,
            final CallNeed need,
            final double usualMicros,
            final long nowNanos) {
        final double travel =
                candidate.dataCentre().equals(mDataCentre)
                        ? 0
                        : Math.max(
                                REMOTE_ROUND_TRIP_MICROS,
                                need.objectiveMicros() * REMOTE_OBJECTIVE_PART);
        final Optional<TargetLoad> load = mLoads.estimate(candidate.host());
        if (load.isEmpty()) {
            final int outstanding = mLoads.outstanding(candidate.host());
            return travel + usualMicros * (1.0 + outstanding);
        }
        final TargetLoad known = load.get();
        final long told = mLoads.serviceMicros(candidate.host(), need.route());
        final boolean unusual = told > usualMicros * UNUSUAL_FACTOR;
        final double service = (unusual ? told : usualMicros) * speed(candidate, nowNanos);
        final double allowance = Math.max(1, known.allowance());
        final double fresh =
                Math.exp(-mLoads.ageNanos(candidate.host(), nowNanos) / LOAD_FADE_NANOS);
        final double ahead = Math.max(0, known.inFlight() + known.queued() + 1 - allowance) * fresh;
        final double crowd = CROWD_COST * known.inFlight() / allowance * fresh;
        return travel + service * (1 + crowd + ahead / allowance) * failureFactor(known);
    }

    /** Returns how much a target's failures make it look slower; a few failures make nothing. */
    private static double failureFactor(final TargetLoad load) {
        final double above = load.failurePercent() - USUAL_FAILURE_PERCENT;
        return 1 + FAILURE_COST * Math.min(1, Math.max(0, above) / 50.0);
    }

    // -- choice

    private double speed(final Candidate candidate, final long nowNanos) {
        final double told = mLoads.speedPercent(candidate.host()) / 100.0;
        final double ageNanos = mLoads.ageNanos(candidate.host(), nowNanos);
        return 1 + (told - 1) * Math.exp(-ageNanos / SPEED_FADE_NANOS);
    }

    private boolean isAccepting(final Candidate candidate, final long nowNanos) {
        return mLoads.ageNanos(candidate.host(), nowNanos) > REFUSAL_TRUST_NANOS
                || mLoads.estimate(candidate.host()).map(TargetLoad::accepting).orElse(true);
    }

    private Candidate best(
            final List<Candidate> from,
            final int draws,
            final Candidate first,
            final CallNeed need,
            final double usualMicros,
            final long nowNanos) {
        Candidate best = first;
        double least =
                best == null ? Double.MAX_VALUE : costMicros(best, need, usualMicros, nowNanos);
        for (int i = 0; i < Math.min(draws, from.size()); i++) {
            final Candidate drawn =
                    from.size() <= draws ? from.get(i) : from.get(mRandom.nextInt(from.size()));
            final double cost =
                    costMicros(drawn, need, usualMicros, nowNanos)
                            * (1 + JITTER * mRandom.nextDouble());
            if (best == null || cost < least) {
                best = drawn;
                least = cost;
            }
        }
        return best;
    }
}
