package io.bilberrylane.cli;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.ResourceCloser;
import io.bilberrylane.ctl.CatalogueStore;
import io.bilberrylane.net.SimpleHttpClient;
import io.bilberrylane.net.Transport;
import io.bilberrylane.node.Node;
import io.bilberrylane.node.NodeAddresses;
import io.bilberrylane.node.NodeSettings;
import io.bilberrylane.node.OwnProfile;
import io.bilberrylane.platform.PlatformClient;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import io.bilberrylane.standin.TargetSettings;
import io.bilberrylane.standin.TargetStandIn;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * Training run for a class data sharing archive: starts two nodes with targets in this process and
 * makes a few calls, so that an archive dumped at exit contains the classes that a node needs.
 */
final class RehearsalCommand implements Command {
    private static final int NODE_COUNT = 2;
    private static final int CALL_COUNT = 40;
    private static final long RETRY_INTERVAL_MILLIS = 100;
    private static final long TIMEOUT_MILLIS = 15_000;
    private static final String CATALOGUE =
            "schema: 1\nservices:\n  - {service: calendar, owner: rehearsal}\n";

    @Override
    public String name() {
        return "rehearsal";
    }

    @Override
    public String help() {
        return "start nodes and stand-ins in this process, make a few calls, and end";
    }

    @Override
    public List<Flag> flags() {
        return List.of();
    }

    @Override
    public int run(final Settings settings, final List<String> arguments) {
        try (ResourceCloser closer = ResourceCloser.empty()) {
            final Transport transport = closer.add(Transport.of(1));
            final PlatformStandIn platform =
                    closer.add(PlatformStandIn.start(transport, loopback(), PlatformFaults.NONE));
            final URI uri = URI.create("http://127.0.0.1:" + platform.address().getPort());
            final List<Node> nodes = new ArrayList<>();
            for (int i = 0; i < NODE_COUNT; i++) {
                nodes.add(closer.add(Node.start(nodeSettings("host-" + i, uri))));
                closer.add(
                        TargetStandIn.start(
                                transport,
                                TargetSettings.onLoopback(
                                        "calendar", nodes.get(i).targetAddress(), 1_000)));
            }
            CatalogueStore.of(PlatformClient.of(transport, uri, 2_000))
                    .apply(CATALOGUE, "rehearsal", -1);
            final boolean successful = makeCalls(SimpleHttpClient.of(transport), nodes);
            final TargetStandIn target =
                    closer.add(
                            TargetStandIn.start(
                                    transport,
                                    TargetSettings.onLoopback(
                                            "calendar", nodes.get(0).targetAddress(), 1_000)));
            new PlatformRehearsal(transport, target.address()).run();
            return successful ? 0 : ErrorCode.INVARIANT_VIOLATED.exitStatus();
        }
    }

    private static boolean makeCalls(final SimpleHttpClient client, final List<Node> nodes) {
        final long deadlineNanos = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
        int successCount = 0;
        for (int i = 0; successCount < CALL_COUNT && System.nanoTime() - deadlineNanos < 0; i++) {
            final InetSocketAddress address = nodes.get(i % NODE_COUNT).callerAddress();
            final HttpMethod method = i % 3 == 0 ? HttpMethod.POST : HttpMethod.GET;
            if (isCallSuccessful(client, address, method)) {
                successCount++;
            } else {
                pause();
            }
        }
        return successCount == CALL_COUNT;
    }

    private static boolean isCallSuccessful(
            final SimpleHttpClient client,
            final InetSocketAddress address,
            final HttpMethod method) {
        try {
            return client.call(address, method, "/", "body", 1_000, "calendar").join().isSuccess();
        } catch (CompletionException e) {
            return false;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RETRY_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static NodeSettings nodeSettings(final String host, final URI platform) {
        return new NodeSettings(
                host,
                "dc-" + host,
                Map.of(),
                "calendar",
                new NodeAddresses(
                        loopback(), loopback(), loopback(), loopback(), Optional.of(loopback())),
                platform,
                1,
                1_000,
                FleetBounds.DEFAULT,
                OwnProfile.create());
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress("127.0.0.1", 0);
    }
}
