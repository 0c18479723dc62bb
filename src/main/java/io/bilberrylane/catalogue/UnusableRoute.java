package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * A route that is in the configuration but cannot be understood.
 *
 * @param host the value of the Host header, in lower case and without a port
 * @param pathPrefix the prefix of the path of every call; ends with a slash
 */
public record UnusableRoute(String host, String pathPrefix) {
    /** Checks that no component is null. */
    public UnusableRoute {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
    }
}
