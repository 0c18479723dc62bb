package io.bilberrylane.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.net.HttpReply;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Queries nodes for their status. */
public final class FleetStatusReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** A status has some hundred bytes for each node of the fleet. */
    private static final int MAX_STATUS_BYTES = 16 * 1024 * 1024;

    private FleetStatusReader() {}

    /**
     * Returns the status of nodes. Blocks.
     *
     * @param transport the event loops and channel types
     * @param addresses the operator addresses of the nodes
     * @param timeoutMillis the timeout for one node, in milliseconds
     * @return a status for each address, including those that do not respond
     */
    public static FleetStatus read(
            final Transport transport,
            final List<InetSocketAddress> addresses,
            final long timeoutMillis) {
        final SimpleHttpClient client = SimpleHttpClient.of(transport, MAX_STATUS_BYTES);
        final List<CompletableFuture<NodeStatus>> pending = new ArrayList<>();
        for (final InetSocketAddress address : addresses) {
            pending.add(
                    client.call(address, HttpMethod.GET, "/status", "", timeoutMillis)
                            .handle((reply, failure) -> status(address, reply, failure)));
        }
        return new FleetStatus(pending.stream().map(CompletableFuture::join).toList());
    }

    private static NodeStatus status(
            final InetSocketAddress address, final HttpReply reply, final Throwable failure) {
        if (failure != null || !reply.isSuccess()) {
            return NodeStatus.unreachable(address.toString());
        }
        try {
            return read(address, MAPPER.readTree(reply.body()));
        } catch (JsonProcessingException e) {
            return NodeStatus.unreachable(address + " (the response is not JSON)");
        }
    }

    private static NodeStatus read(final InetSocketAddress address, final JsonNode root) {
        int presentMembers = 0;
        for (final JsonNode member : root.path("members")) {
            final String status = member.path("status").asText();
            presentMembers += status.equals("ALIVE") || status.equals("SUSPECT") ? 1 : 0;
        }
        final List<String> findings = new ArrayList<>();
        root.path("configurationFindings").forEach(line -> findings.add(line.asText()));
        return new NodeStatus(
                address.toString(),
                true,
                root.path("host").asText(),
                root.path("dataCentre").asText(),
                root.path("configurationRevision").asLong(),
                findings,
                presentMembers,
                root.path("load").path("inFlight").asInt(),
                root.path("load").path("allowance").asInt());
    }
}
