package io.bilberrylane.catalogue;

import java.util.Objects;

/**
 * A rule that matches idempotent calls, which may run more than once.
 *
 * @param method the HTTP method
 * @param pathPrefix the prefix of the path
 */
public record IdempotentRule(String method, String pathPrefix) {
    /** Checks that no component is null. */
    public IdempotentRule {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
    }

    /**
     * Returns whether the rule matches a call.
     *
     * @param callMethod the call's method
     * @param path the call's path
     * @return true if the method is equal and the path starts with the prefix
     */
    public boolean matches(final String callMethod, final String path) {
        return method.equals(callMethod) && path.startsWith(pathPrefix);
    }
}
