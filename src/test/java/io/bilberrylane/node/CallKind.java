package io.bilberrylane.node;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * A kind of call, and of schedules of events around it.
 *
 * @param hasIdempotencyKey whether it has an idempotency key; such a call may run once
 * @param tokenMillis how long a token of the organisation's limit lasts; 0 without a limit
 * @param identified whether the caller's organisation is known by its key
 * @param emphasis selects the events that are more or less likely than usual
 */
record CallKind(
        boolean idempotent,
        boolean hasIdempotencyKey,
        boolean hasBody,
        long tokenMillis,
        boolean identified,
        int attempts,
        int emphasis) {
    /** Longer than a call may last. */
    static final long LASTING_MILLIS = 60_000;

    /** The choices of how long a token of the organisation's limit lasts; 0 without a limit. */
    private static final long[] TOKEN_MILLIS = {0, 150, LASTING_MILLIS};

    private static final int MAX_ATTEMPTS = 4;

    /** Some events do not happen in a schedule, others often, so that schedules differ more. */
    private static final int[] FACTORS = {0, 1, 1, 6};

    static CallKind of(final RandomGenerator random) {
        final boolean idempotent = random.nextInt(4) > 0;
        return new CallKind(
                idempotent,
                !idempotent && random.nextBoolean(),
                random.nextInt(3) == 0,
                TOKEN_MILLIS[random.nextInt(TOKEN_MILLIS.length)],
                random.nextInt(3) == 0,
                1 + random.nextInt(MAX_ATTEMPTS),
                random.nextInt());
    }

    /** Returns how likely an event is, relative to its usual weight. */
    int factorOf(final String event) {
        final RandomGenerator random = new SplittableRandom(31L * emphasis + event.hashCode());
        return FACTORS[random.nextInt(FACTORS.length)];
    }
}
