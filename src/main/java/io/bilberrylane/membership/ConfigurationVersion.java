package io.bilberrylane.membership;

/**
 * How new a node's configuration is. Both parts only grow, each on its own.
 *
 * @param catalogue the revision of the catalogue; 0 when there is none
 * @param outages the revision of what is taken out besides the catalogue; 0 when there is none
 */
public record ConfigurationVersion(long catalogue, long outages) {
    /** The version of a node that has no configuration. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    /**
     * Returns whether another version has a newer part.
     *
     * @param other the other version
     * @return true when a part of this version is older
     */
    public boolean isBehind(final ConfigurationVersion other) {
        return catalogue < other.catalogue || outages < other.outages;
    }

    /**
     * Returns the version with the newer of each part.
     *
     * @param other the other version
     * @return the newest parts of both
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
