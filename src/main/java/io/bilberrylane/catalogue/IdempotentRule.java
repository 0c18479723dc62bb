package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * Names calls that may run more than once.
 *
 * @param method the HTTP method
 * @param pathPrefix what the path must start with
 */
public record IdempotentRule(String method, String pathPrefix) {
    /** Checks that both parts are present. */
    public IdempotentRule {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
    }

    /**
     * Returns whether a call is covered.
     *
     * @param callMethod the call's method
     * @param path the call's path
     * @return true when both fit
     */
    public boolean matches(final String callMethod, final String path) {
        return method.equals(callMethod) && path.startsWith(pathPrefix);
    }
}
