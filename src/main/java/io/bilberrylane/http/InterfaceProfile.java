package io.bilberrylane.http;

import io.bilberrylane.catalogue.ConfigurationFormat;
import io.bilberrylane.membership.TargetRegistry;
import java.util.Objects;
import java.util.function.Function;

/**
 * The interface that callers, targets and operators use to communicate with a node.
 *
 * @param names the header fields
 * @param format the format of the configuration that the platform stores
 * @param targetPrefix the path prefix of the requests in which targets report their own state
 * @param targetEndpoint creates the endpoint that receives these requests
 */
public record InterfaceProfile(
        HeaderNames names,
        ConfigurationFormat format,
        String targetPrefix,
        Function<TargetRegistry, LocalEndpoint> targetEndpoint) {
    /** Checks that no component is null. */
    public InterfaceProfile {
        Objects.requireNonNull(names, "names is null");
        Objects.requireNonNull(format, "format is null");
        Objects.requireNonNull(targetPrefix, "targetPrefix is null");
        Objects.requireNonNull(targetEndpoint, "targetEndpoint is null");
    }
}
