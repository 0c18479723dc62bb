package io.bilberrylane.http;

import io.bilberrylane.catalogue.ConfigurationFormat;
import io.bilberrylane.membership.TargetRegistry;
import java.util.Objects;
import java.util.function.Function;

/**
 * How callers, targets and operators speak to a node.
 *
 * @param names the header fields
 * @param format how the configuration stands in the platform
 * @param targetPrefix the path prefix of what targets say of themselves
 * @param targetEndpoint makes the endpoint that takes it
 */
public record InterfaceProfile(
        HeaderNames names,
        ConfigurationFormat format,
        String targetPrefix,
        Function<TargetRegistry, LocalEndpoint> targetEndpoint) {
    /** Checks that every part is present. */
    public InterfaceProfile {
        Objects.requireNonNull(names, "names is null");
        Objects.requireNonNull(format, "format is null");
        Objects.requireNonNull(targetPrefix, "targetPrefix is null");
        Objects.requireNonNull(targetEndpoint, "targetEndpoint is null");
    }
}
