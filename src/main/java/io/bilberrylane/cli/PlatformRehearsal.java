package io.bilberrylane.cli;

import io.bilberrylane.base.ResourceCloser;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.bilberrylane.node.Addresses;
import io.bilberrylane.node.Node;
import io.bilberrylane.platform.PlatformClient;
import io.bilberrylane.platform.PlatformSamples;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Starts nodes as a deployment on the users' platform does: from a settings file, with the
 * platform's interface, a configuration from its store and heartbeats of targets.
 */
final class PlatformRehearsal {
    private static final String SERVICE = "calendar";
    private static final int NODE_COUNT = 2;
    private static final int CALL_COUNT = 8;
    private static final long CALL_TIMEOUT_MILLIS = 400;
    private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;
    private static final long POLL_INTERVAL_NANOS = 10_000_000L;

    private final Transport mTransport;
    private final InetSocketAddress mTargetAddress;

    PlatformRehearsal(final Transport transport, final InetSocketAddress targetAddress) {
        mTransport = transport;
        mTargetAddress = targetAddress;
    }

    /** Runs the nodes. The target does not sign its responses, so the calls end with errors. */
    void run() {
        try (ResourceCloser closer = ResourceCloser.empty()) {
            final PlatformStandIn platform =
                    closer.add(
                            PlatformStandIn.start(
                                    mTransport,
                                    new InetSocketAddress("127.0.0.1", 0),
                                    PlatformFaults.NONE));
            final URI uri = URI.create("http://127.0.0.1:" + platform.address().getPort());
            PlatformClient.of(mTransport, uri, PLATFORM_TIMEOUT_MILLIS)
                    .create(
                            PlatformSamples.CONFIGURATION_KIND,
                            PlatformSamples.CONFIGURATION_NAME,
                            PlatformSamples.configuration(SERVICE))
                    .join();
            final List<Node> nodes = new ArrayList<>();
            for (int i = 0; i < NODE_COUNT; i++) {
                nodes.add(closer.add(startNode("platform-host-" + i, uri)));
            }
            final SimpleHttpClient client = SimpleHttpClient.of(mTransport);
            for (final Node node : nodes) {
                client.call(
                                node.targetAddress(),
                                HttpMethod.POST,
                                PlatformSamples.heartbeatPath("i-" + nodes.indexOf(node)),
                                PlatformSamples.heartbeat(
                                        SERVICE, Addresses.format(mTargetAddress)),
                                PLATFORM_TIMEOUT_MILLIS)
                        .join();
            }
            awaitConfiguration(nodes);
            for (int i = 0; i < CALL_COUNT; i++) {
                call(client, nodes.get(i % NODE_COUNT), i % 4 < 2);
            }
            nodes.get(0).leave();
        }
    }

    private static void awaitConfiguration(final List<Node> nodes) {
        final long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PLATFORM_TIMEOUT_MILLIS);
        while (nodes.stream().anyMatch(node -> node.targetCount(SERVICE) < nodes.size())
                && System.nanoTime() - deadlineNanos < 0) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    private static void call(
            final SimpleHttpClient client, final Node node, final boolean repeatable) {
        client.call(
                        node.callerAddress(),
                        repeatable ? HttpMethod.GET : HttpMethod.POST,
                        repeatable ? "/a/x" : "/b/x",
                        repeatable ? "" : "body",
                        CALL_TIMEOUT_MILLIS,
                        SERVICE)
                .handle((reply, failure) -> reply)
                .join();
    }

    private Node startNode(final String host, final URI platform) {
        try {
            final Path file = Files.createTempFile("rehearsal", ".yaml");
            try {
                Files.writeString(file, settings(host, platform));
                return NodeCommand.start(Main.settings("node", "--config", file.toString()));
            } finally {
                Files.delete(file);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String settings(final String host, final URI platform) {
        return String.join(
                "\n",
                "interface: platform",
                "host: " + host,
                "data-centre: dc-" + host,
                "regions: \"dc-" + host + "=region\"",
                "service: " + SERVICE,
                "readiness-address: \"127.0.0.1:0\"",
                "platform: \"" + platform + "\"",
                "announcement-seconds: 1.5",
                "drain-seconds: 0.2",
                "cold-overage: 1.5",
                "cold-slack: 5",
                "retry-ratio: 0.2",
                "probes-per-second: 60",
                "");
    }
}
