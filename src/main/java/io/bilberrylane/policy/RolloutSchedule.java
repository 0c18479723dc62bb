package io.bilberrylane.policy;

import java.util.concurrent.TimeUnit;

/** The parts of an order's time at which a roll-out may take its steps. */
final class RolloutSchedule {
    /**
     * The part after which only routes that lack evidence get calls on trial. Few calls of four
     * routes leave one of them unclear by chance; twice as many calls of it decide.
     */
    private static final double FOCUS_START = 0.45;

    /** The part of the order's time after which the new version may be promoted. */
    private static final double PROMOTION_START = 0.55;

    /** The part of the order's time after which a version that was not promoted is stopped. */
    private static final double PROMOTION_END = 0.82;

    /**
     * The part after which less and less evidence is required, so that noise that both versions
     * share does not keep a good version from its deadline.
     */
    private static final double RELAXATION_START = 0.66;

    private static final double MIN_STRICTNESS = 0.25;

    /**
     * The part of the order's time for which the old version still gets what the new one refuses.
     */
    private static final double OVERLAP = 0.07;

    private RolloutSchedule() {}

    /**
     * Returns whether the trial looks only for the evidence that lacks.
     *
     * @param elapsed the part of the order's time that has passed
     * @return true near the time at which the trial may end
     */
    static boolean focuses(final double elapsed) {
        return elapsed >= FOCUS_START;
    }

    /**
     * Returns whether the new version may be promoted.
     *
     * @param elapsed the part of the order's time that has passed
     * @return true in the time for promotions
     */
    static boolean mayPromote(final double elapsed) {
        return elapsed >= PROMOTION_START && elapsed < PROMOTION_END;
    }

    /**
     * Returns whether it is too late for a promotion.
     *
     * @param elapsed the part of the order's time that has passed
     * @return true after the time for promotions
     */
    static boolean isTooLate(final double elapsed) {
        return elapsed >= PROMOTION_END;
    }

    /**
     * Returns the part of the evidence that is required.
     *
     * @param elapsed the part of the order's time that has passed
     * @return a value from 0 to 1
     */
    static double strictness(final double elapsed) {
        final double left = (PROMOTION_END - elapsed) / (PROMOTION_END - RELAXATION_START);
        return Math.max(MIN_STRICTNESS, Math.min(1, left));
    }

    /**
     * Returns how long the old version still gets calls after the promotion.
     *
     * @param durationMillis the order's time, in milliseconds
     * @return the time, in nanoseconds
     */
    static double overlapNanos(final long durationMillis) {
        return OVERLAP * TimeUnit.MILLISECONDS.toNanos(durationMillis);
    }
}
