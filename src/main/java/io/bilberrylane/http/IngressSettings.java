package io.bilberrylane.http;

import io.bilberrylane.catalogue.Catalogue;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The settings of one HTTP address of a node.
 *
 * @param limits the limits on connections
 * @param catalogue supplies the active catalogue
 * @param router routes calls to targets
 * @param localEndpoint responds to requests to the node itself; empty if this address serves none
 * @param localPrefix the path prefix of requests to the node itself
 * @param leaving whether responses close their connections
 * @param refusing whether new requests are refused
 * @param remainingMillis how long a request that arrives now may last, in milliseconds
 * @param names the header fields that callers use
 * @param reservedFields the fields of requests that only nodes set, in lower case
 * @param service the service that runs beside the node, sent to targets; may be empty
 * @param metrics records calls and their outcomes
 * @param openExchanges the requests to targets that were read and whose responses are not written
 */
record IngressSettings(
        HttpLimits limits,
        Supplier<Catalogue> catalogue,
        CallRouter router,
        Optional<LocalEndpoint> localEndpoint,
        String localPrefix,
        BooleanSupplier leaving,
        BooleanSupplier refusing,
        LongSupplier remainingMillis,
        HeaderNames names,
        Set<String> reservedFields,
        String service,
        IngressMetrics metrics,
        AtomicInteger openExchanges) {
    IngressSettings {
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(catalogue, "catalogue is null");
        Objects.requireNonNull(router, "router is null");
        Objects.requireNonNull(names, "names is null");
        Objects.requireNonNull(service, "service is null");
        reservedFields = Set.copyOf(reservedFields);
    }

    boolean isRefusing() {
        return refusing.getAsBoolean();
    }

    /** Returns whether a request may last longer than the node that would take it. */
    boolean mayOutliveNode(final long timeoutMillis) {
        return timeoutMillis > remainingMillis.getAsLong();
    }

    boolean isLeaving() {
        return leaving.getAsBoolean();
    }
}
