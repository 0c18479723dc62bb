package io.bilberrylane.http;

import io.bilberrylane.catalogue.Catalogue;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * What one HTTP address of a node serves.
 *
 * @param limits bounds on connections
 * @param catalogue the catalogue in force
 * @param router brings calls to targets
 * @param localEndpoint answers requests to the node itself, if this address has any
 * @param localPrefix the path prefix of requests to the node itself
 * @param leaving whether answers close their connections
 * @param refusing whether new requests are refused
 * @param names the header fields that callers use
 * @param service the service beside the node, told to targets; may be empty
 * @param metrics counts calls and their ends
 */
record IngressSettings(
        HttpLimits limits,
        Supplier<Catalogue> catalogue,
        CallRouter router,
        Optional<LocalEndpoint> localEndpoint,
        String localPrefix,
        BooleanSupplier leaving,
        BooleanSupplier refusing,
        HeaderNames names,
        String service,
        IngressMetrics metrics) {
    IngressSettings {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(catalogue, "catalogue is null");
        Objects.requireNonNull(router, "router is null");
        Objects.requireNonNull(names, "names is null");
        Objects.requireNonNull(service, "service is null");
    }

    boolean isRefusing() {
        return refusing.getAsBoolean();
    }

    boolean isLeaving() {
        return leaving.getAsBoolean();
    }
}
