package io.bilberrylane.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** The smoothed round trip to each data centre, from pings between nodes. Not thread-safe. */
public final class Distances {
    /**
     * Weights of a shorter and of a longer round trip than the smoothed one. A busy node answers a
     * ping late, which says nothing of the distance, so longer ones count less.
     */
    private static final double SHORTER_WEIGHT = 0.5;

    private static final double LONGER_WEIGHT = 0.1;

    /**
     * The assumed rate of a link between data centres, in bits per microsecond, which is between
     * the slowest and the fastest links in use (7 and 140). Rates are not measured.
     */
    private static final double LINK_BITS_PER_MICRO = 20;

    /**
     * The multiple of the distance that a nested call is charged, because a running request often
     * makes several calls one after the other.
     */
    private static final double NESTED_FACTOR = 3;

    private final Map<String, Double> mRoundTripMicros = new HashMap<>();

    private Distances() {}

    /**
     * Returns distances without measurements.
     *
     * @return an empty table
     */
    public static Distances unknown() {
        return new Distances();
    }

    /**
     * Records a round trip.
     *
     * @param dataCentre the data centre of the other node
     * @param micros the time from ping to pong, in microseconds
     */
    public void recordRoundTrip(final String dataCentre, final double micros) {
        mRoundTripMicros.merge(
                dataCentre,
                micros,
                (known, measured) ->
                        known
                                + (measured < known ? SHORTER_WEIGHT : LONGER_WEIGHT)
                                        * (measured - known));
    }

    /**
     * Returns the smoothed round trip to a data centre.
     *
     * @param dataCentre the data centre
     * @return microseconds, or empty if none was measured
     */
    public OptionalDouble roundTripMicros(final String dataCentre) {
        final Double micros = mRoundTripMicros.get(dataCentre);
        return micros == null ? OptionalDouble.empty() : OptionalDouble.of(micros);
    }

    /**
     * Returns the time that a call in another data centre takes longer.
     *
     * @param dataCentre the data centre
     * @param placement the properties of the call
     * @param unmeasuredMicros the round trip to assume if none was measured
     * @return microseconds
     */
    double costMicros(
            final String dataCentre, final Placement placement, final double unmeasuredMicros) {
        final double transferMicros = placement.bodyBytes() * 8 / LINK_BITS_PER_MICRO;
        final double micros = roundTripMicros(dataCentre).orElse(unmeasuredMicros) + transferMicros;
        return placement.nested() ? micros * NESTED_FACTOR : micros;
    }
}
