package io.bilberrylane.catalogue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The shares of capacity to which organisations are entitled, as weights. An organisation with a
 * rate has its rate as weight; one without a rate has the mean of the rates.
 */
public final class FairShares {
    private final Map<String, Double> mWeights;
    private final double mMeanWeight;

    private FairShares(final Map<String, Double> weights, final double meanWeight) {
        mWeights = weights;
        mMeanWeight = meanWeight;
    }

    static FairShares of(final List<Organisation> organisations) {
        final Map<String, Double> weights = new HashMap<>();
        for (final Organisation organisation : organisations) {
            if (organisation.ratePerSecond() > 0) {
                weights.put(organisation.name(), organisation.ratePerSecond());
            }
        }
        final double meanWeight =
                weights.values().stream().mapToDouble(Double::doubleValue).average().orElse(1);
        return new FairShares(Map.copyOf(weights), meanWeight);
    }

    /**
     * Returns the weight of an organisation.
     *
     * @param organisation the name; empty for calls without an organisation
     * @return a value above 0
     */
    public double weight(final String organisation) {
        return mWeights.getOrDefault(organisation, mMeanWeight);
    }
}
