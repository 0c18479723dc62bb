package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.base.ResourceCloser;
import io.bilberrylane.membership.Member;
import io.bilberrylane.membership.MemberStatus;
import io.bilberrylane.membership.WatcherSelection;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.PlatformClient;
import io.bilberrylane.platform.PlatformProfile;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.soak.FaultProxy;
import io.bilberrylane.soak.ProxyFault;
import io.bilberrylane.standin.PlatformFaults;
import io.bilberrylane.standin.PlatformStandIn;
import java.net.URI;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The platform turns some nodes away and serves the others, while a configuration changes. */
final class WatcherReplacementTest {
    private static final long HEARTBEAT_MILLIS = 600_000;

    /** The time after its acknowledgement in which a configuration is in force at all nodes. */
    private static final long MAX_DELAY_MILLIS = 2_000;

    /** The largest share of the nodes that the platform turns away while it serves the others. */
    private static final double MAX_SHARE = 0.35;

    /** Enough for the records of all nodes to reach each other after the start. */
    private static final long SETTLING_MILLIS = 1_500;

    private static final String CONFIGURATION =
            """
            {"version":%d,"services":[{"name":"desk"}],
             "virtualHosts":[{"host":"desk.example","paths":[
              {"name":"r","pathPrefix":"/","type":"safe","timeoutS":4,"service":"desk"}]}]}
            """;

    private final ResourceCloser mCloser = ResourceCloser.empty();
    private final Transport mTransport = mCloser.add(Transport.of(1));
    private final PlatformStandIn mPlatform =
            mCloser.add(PlatformStandIn.start(mTransport, Fleet.loopback(), PlatformFaults.NONE));
    private final Map<String, Node> mNodes = new LinkedHashMap<>();
    private final Map<String, FaultProxy> mProxies = new LinkedHashMap<>();

    @AfterEach
    void stop() {
        mCloser.close();
    }

    // -- fleet

    private void start(final int nodes) throws Exception {
        client().create("config", "main", configuration(1)).join();
        for (int i = 0; i < nodes; i++) {
            startNode("host-" + i, dataCentre(i));
        }
        Fleet.await(() -> mNodes.values().stream().allMatch(node -> node.revision() > 0));
        TimeUnit.MILLISECONDS.sleep(SETTLING_MILLIS);
    }

    private static String dataCentre(final int number) {
        return "dc-" + number % 3;
    }

    private static JsonNode configuration(final int version) throws Exception {
        return new ObjectMapper().readTree(CONFIGURATION.formatted(version));
    }

    private PlatformClient client() {
        return PlatformClient.of(mTransport, uri(mPlatform.address().getPort()), 2_000);
    }

    private static URI uri(final int port) {
        return URI.create("http://127.0.0.1:" + port);
    }

    private void startNode(final String host, final String dataCentre) {
        final FaultProxy proxy =
                mCloser.add(FaultProxy.start(mTransport, Fleet.loopback(), mPlatform.address()));
        mProxies.put(host, proxy);
        final NodeAddresses addresses =
                new NodeAddresses(
                        Fleet.loopback(),
                        Fleet.loopback(),
                        Fleet.loopback(),
                        Fleet.loopback(),
                        Optional.empty());
        final NodeSettings settings =
                new NodeSettings(
                        host,
                        dataCentre,
                        Map.of(),
                        "desk",
                        addresses,
                        uri(proxy.address().getPort()),
                        1,
                        1_000,
                        FleetBounds.DEFAULT,
                        PlatformProfile.of("", HEARTBEAT_MILLIS));
        mNodes.put(host, mCloser.add(Node.start(settings)));
    }

    // -- choice of the nodes that are turned away

    /** Returns the watchers, then those that would take over from them, and so on. */
    private static List<String> watchersInOrder(final int nodes) {
        final Map<String, Member> left = new HashMap<>();
        for (int i = 0; i < nodes; i++) {
            left.put("host-" + i, member("host-" + i, dataCentre(i)));
        }
        final Set<String> watchers = new LinkedHashSet<>();
        while (!left.isEmpty()) {
            final Set<String> next = WatcherSelection.select(List.copyOf(left.values()));
            watchers.addAll(next);
            left.keySet().removeAll(next);
        }
        return List.copyOf(watchers);
    }

    private static Member member(final String host, final String dataCentre) {
        return new Member(
                host, dataCentre, "127.0.0.1:1", 1, 1, MemberStatus.ALIVE, Optional.empty());
    }

    private static int turnedAwayCount(final int nodes) {
        return (int) (MAX_SHARE * nodes);
    }

    // -- judgement

    /** Changes the configuration and checks when the nodes have it. */
    private void assertAppliedInTime() throws Exception {
        final long version = client().get("config", "main").join().version();
        final long newVersion =
                client().update("config", "main", version, configuration(2)).join().version();
        final long acknowledgedNanos = System.nanoTime();
        final Map<String, Long> delaysMillis = new HashMap<>();
        Fleet.await(
                () -> {
                    recordDelays(newVersion, acknowledgedNanos, delaysMillis);
                    return delaysMillis.size() == mNodes.size();
                });
        assertThat(delaysMillis.values())
                .as("delays of %s", delaysMillis)
                .hasSize(mNodes.size())
                .allMatch(delayMillis -> delayMillis <= MAX_DELAY_MILLIS);
    }

    private void recordDelays(
            final long version, final long sinceNanos, final Map<String, Long> delaysMillis) {
        final long delayMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
        mNodes.forEach(
                (host, node) -> {
                    if (node.revision() == version) {
                        delaysMillis.putIfAbsent(host, delayMillis);
                    }
                });
    }

    private void turnAway(final Collection<String> hosts, final ProxyFault fault) {
        assertThat(hosts).isNotEmpty();
        hosts.forEach(host -> mProxies.get(host).setFault(fault));
    }

    // Guards against: no node learns of a configuration while the platform turns the watchers and
    // some of those that take over away, though it serves all other nodes (CONFIG).
    @ParameterizedTest
    @CsvSource({"RESET, 12", "SILENT, 12", "RESET, 20", "SILENT, 20"})
    void shouldApplyAConfigurationWhenThePlatformTurnsTheWatchersAway(
            final ProxyFault fault, final int nodes) throws Exception {
        start(nodes);
        turnAway(watchersInOrder(nodes).subList(0, turnedAwayCount(nodes)), fault);
        assertAppliedInTime();
    }

    // Guards against: a configuration is late because of which nodes the platform turns away, or
    // because of when it does so.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void shouldApplyAConfigurationWhichNodesThePlatformTurnsAway(final int seed) throws Exception {
        final Random random = new Random(seed);
        final int nodes = 12;
        start(nodes);
        final List<String> hosts = new ArrayList<>(mNodes.keySet());
        Collections.shuffle(hosts, random);
        final ProxyFault fault = random.nextBoolean() ? ProxyFault.RESET : ProxyFault.SILENT;
        turnAway(hosts.subList(0, turnedAwayCount(nodes)), fault);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(1_000));
        assertAppliedInTime();
    }
}
