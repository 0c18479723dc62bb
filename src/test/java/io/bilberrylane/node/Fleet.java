package io.bilberrylane.node;

import io.bilberrylane.base.ResourceCloser;
import io.bilberrylane.ctl.CatalogueStore;
import io.bilberrylane.http.InterfaceProfile;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.PlatformClient;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import io.bilberrylane.standin.TargetSettings;
import io.bilberrylane.standin.TargetStandIn;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Runs several real nodes, targets and a platform stand-in in one process, for contract tests. */
final class Fleet implements AutoCloseable {
    static final String CATALOGUE =
            """
            schema: 1
            services:
              - service: calendar
                owner: tests
                limits: {bodyBytes: 1073741824, timeoutMillis: 5000, queueMillis: 500}
            """;
    private static final long READY_TIMEOUT_MILLIS = 15_000;

    final ResourceCloser mCloser = ResourceCloser.empty();
    final Transport mTransport = mCloser.add(Transport.of(2));
    final PlatformStandIn mPlatform =
            mCloser.add(PlatformStandIn.start(mTransport, loopback(), PlatformFaults.NONE));
    final List<Node> mNodes = new ArrayList<>();
    final List<TargetStandIn> mTargets = new ArrayList<>();

    static Fleet of(final int nodes, final long serviceMicros) {
        final Fleet fleet = new Fleet();
        for (int i = 0; i < nodes; i++) {
            fleet.addNode("dc-" + i % 2, serviceMicros);
        }
        fleet.store().apply(CATALOGUE, "tests", -1);
        await(
                () ->
                        fleet.mNodes.stream()
                                .allMatch(
                                        node ->
                                                node.revision() > 0
                                                        && node.targetCount("calendar") == nodes));
        return fleet;
    }

    void addNode(final String dataCentre, final long serviceMicros) {
        final Node node = startNode("host-" + mNodes.size(), dataCentre, loopback());
        mNodes.add(node);
        mTargets.add(
                mCloser.add(
                        TargetStandIn.start(
                                mTransport,
                                TargetSettings.onLoopback(
                                        "calendar", node.targetAddress(), serviceMicros))));
    }

    /** Starts a node without a target; it is not one of {@link #mNodes}. */
    Node startNode(
            final String host, final String dataCentre, final InetSocketAddress peerAddress) {
        return startNode(host, dataCentre, peerAddress, OwnProfile.create());
    }

    Node startNode(
            final String host,
            final String dataCentre,
            final InetSocketAddress peerAddress,
            final InterfaceProfile profile) {
        final NodeAddresses addresses =
                new NodeAddresses(
                        loopback(), peerAddress, loopback(), loopback(), Optional.empty());
        return mCloser.add(
                Node.start(
                        new NodeSettings(
                                host,
                                dataCentre,
                                Map.of(),
                                "",
                                addresses,
                                URI.create("http://127.0.0.1:" + mPlatform.address().getPort()),
                                1,
                                5_000,
                                FleetBounds.DEFAULT,
                                profile)));
    }

    CatalogueStore store() {
        return CatalogueStore.of(
                PlatformClient.of(
                        mTransport,
                        URI.create("http://127.0.0.1:" + mPlatform.address().getPort()),
                        2_000));
    }

    static InetSocketAddress loopback() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    static void await(final BooleanSupplier condition) {
        final long deadlineNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError(
                        "condition not met within " + READY_TIMEOUT_MILLIS + " ms");
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        mCloser.close();
    }
}
