package io.bilberrylane.membership;

/**
 * The version of a node's configuration. Both revisions only increase, independently of each other.
 *
 * @param catalogue the revision of the catalogue; 0 if there is none
 * @param outages the revision of the data centre outages that are declared outside the catalogue; 0
 *     if there is none
 */
public record ConfigurationVersion(long catalogue, long outages) {
    /** The version of a node without a configuration. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /**
     * Returns whether another version has a higher revision of the catalogue or of the outages.
     *
     * @param other the other version
     * @return true if a revision of this version is lower
     */
    public boolean isBehind(final ConfigurationVersion other) {
        return catalogue < other.catalogue || outages < other.outages;
    }

    /**
     * Returns the component-wise maximum of two versions.
     *
     * @param other the other version
     * @return the higher catalogue revision and the higher outage revision
     */
    public ConfigurationVersion newest(final ConfigurationVersion other) {
        return new ConfigurationVersion(
                Math.max(catalogue, other.catalogue), Math.max(outages, other.outages));
    }

    @Override
    public String toString() {
        return catalogue + "." + outages;
    }
}
