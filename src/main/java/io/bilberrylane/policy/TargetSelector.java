package io.bilberrylane.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses a target by expected wait: the work ahead of a call, plus the way there and back.
 *
 * <p>A few targets are drawn at random and the best of them is taken, so that many ingresses with
 * the same stale view do not all choose the same target. Not thread-safe.
 */
public final class TargetSelector {
    /** Targets drawn for one choice. */
    static final int DRAWN = 3;

    /** Assumed service time of a target that never told one, in microseconds. */
    static final long DEFAULT_SERVICE_MICROS = 2_000;

    /** Assumed time to another data centre and back, in microseconds. */
    static final long REMOTE_ROUND_TRIP_MICROS = 2_000;

    /** A gate that admitted nothing is left alone for this long, in nanoseconds. */
    static final long REFUSAL_TRUST_NANOS = 1_000_000_000L;

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
     * @param nowNanos the monotonic clock
     * @return the choice, or nothing when no candidate is left
     */
    public Optional<Candidate> choose(
            final List<Candidate> candidates,
            final Collection<String> excluded,
            final long nowNanos) {
        final List<Candidate> left = new ArrayList<>(candidates.size());
        for (final Candidate candidate : candidates) {
            if (!excluded.contains(candidate.host()) && isAccepting(candidate, nowNanos)) {
                left.add(candidate);
            }
        }
        final List<Candidate> near =
                left.stream().filter(c -> c.dataCentre().equals(mDataCentre)).toList();
        Candidate best = best(near, null);
        best = best(left, best);
        return Optional.ofNullable(best);
    }

    /**
     * Returns the expected time until a call at a target would be answered.
     *
     * @param candidate the target
     * @return microseconds
     */
    public double costMicros(final Candidate candidate) {
        final Optional<TargetLoad> load = mLoads.estimate(candidate.host());
        final double travel =
                candidate.dataCentre().equals(mDataCentre) ? 0 : REMOTE_ROUND_TRIP_MICROS;
        if (load.isEmpty()) {
            final int outstanding = mLoads.outstanding(candidate.host());
            return travel + DEFAULT_SERVICE_MICROS * (1.0 + outstanding);
        }
        final TargetLoad known = load.get();
        final double service = Math.max(1, known.serviceMicros());
        final double allowance = Math.max(1, known.allowance());
        final double ahead = known.inFlight() + known.queued();
        return travel + service * (1.0 + ahead / allowance);
    }

    // -- choice

    private boolean isAccepting(final Candidate candidate, final long nowNanos) {
        return mLoads.ageNanos(candidate.host(), nowNanos) > REFUSAL_TRUST_NANOS
                || mLoads.estimate(candidate.host()).map(TargetLoad::accepting).orElse(true);
    }

    private Candidate best(final List<Candidate> from, final Candidate first) {
        Candidate best = first;
        for (int i = 0; i < Math.min(DRAWN, from.size()); i++) {
            final Candidate drawn = from.get(mRandom.nextInt(from.size()));
            if (best == null || costMicros(drawn) < costMicros(best)) {
                best = drawn;
            }
        }
        return best;
    }
}
