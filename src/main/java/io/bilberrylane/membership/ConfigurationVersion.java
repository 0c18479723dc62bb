package io.bilberrylane.membership;

/**
 * The version of a node's configuration. Both revisions only increase, independently of each other.
 *
 * @param catalogue the revision of the catalogue; 0 if there is none
 * @param outages the revision of the data centre outages that are declared outside the catalogue; 0
 *     if there is none
 * @param rollouts the revision of the orders for roll-outs; 0 if they are not known or not watched
 */
public record ConfigurationVersion(long catalogue, long outages, long rollouts) {
    /** The version of a node without a configuration. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0, 0);

    /**
     * Creates the version of a configuration without orders for roll-outs.
     *
     * @param catalogue the revision of the catalogue
     * @param outages the revision of the outages
     */
    public ConfigurationVersion(final long catalogue, final long outages) {
        this(catalogue, outages, 0);
    }

    /**
     * Returns whether another version has a higher revision of any part.
     *
     * @param other the other version
     * @return true if a revision of this version is lower
     */
    public boolean isBehind(final ConfigurationVersion other) {
        return catalogue < other.catalogue || outages < other.outages || rollouts < other.rollouts;
    }

    /**
     * Returns the component-wise maximum of two versions.
     *
     * @param other the other version
     * @return the higher revision of each part
     */
    public ConfigurationVersion newest(final ConfigurationVersion other) {
        return new ConfigurationVersion(
                Math.max(catalogue, other.catalogue),
                Math.max(outages, other.outages),
                Math.max(rollouts, other.rollouts));
    }

    @Override
    public String toString() {
        return catalogue + "." + outages + (rollouts > 0 ? "." + rollouts : "");
    }
}
