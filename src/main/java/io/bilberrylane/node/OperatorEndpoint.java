package io.bilberrylane.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.http.LocalEndpoint;
import io.bilberrylane.http.LocalResponse;
import io.bilberrylane.membership.Member;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.policy.TargetLoad;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

/** Serves the health, readiness, metrics and status of a node to operators. */
final class OperatorEndpoint implements LocalEndpoint {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final NodeIdentity mIdentity;
    private final ConfigurationService mConfiguration;
    private final MembershipService mMembership;
    private final Gate mGate;
    private final NodeMetrics mMetrics;
    private final BooleanSupplier mReady;

    OperatorEndpoint(
            final NodeIdentity identity,
            final ConfigurationService configuration,
            final MembershipService membership,
            final Gate gate,
            final NodeMetrics metrics,
            final BooleanSupplier ready) {
        mIdentity = identity;
        mConfiguration = configuration;
        mMembership = membership;
        mGate = gate;
        mMetrics = metrics;
        mReady = ready;
    }

    @Override
    public CompletionStage<LocalResponse> respond(
            final String method, final String path, final String body) {
        return responseTo(method, path).now();
    }

    private LocalResponse responseTo(final String method, final String path) {
        if (!method.equals("GET") && !method.equals("HEAD")) {
            return LocalResponse.json(405, "{\"error\":\"method-not-allowed\"}");
        }
        return switch (path) {
            case "/healthz" -> LocalResponse.text(200, "ok\n");
            case "/readyz" ->
                    mReady.getAsBoolean()
                            ? LocalResponse.text(200, "ready\n")
                            : LocalResponse.text(503, "not ready\n");
            case "/metrics" -> LocalResponse.text(200, mMetrics.scrape());
            case "/status" -> LocalResponse.json(200, status().toPrettyString());
            default -> LocalResponse.json(404, "{\"error\":\"not-found\"}");
        };
    }

    private ObjectNode status() {
        final ObjectNode root = MAPPER.createObjectNode();
        root.put("host", mIdentity.host());
        root.put("dataCentre", mIdentity.dataCentre());
        root.put("incarnation", mIdentity.incarnation());
        root.put("ready", mReady.getAsBoolean());
        root.put("leaving", mGate.isLeaving());
        root.put("configurationRevision", mConfiguration.version().catalogue());
        root.put("configurationFindingCount", mConfiguration.findings().size());
        final ArrayNode lines = root.putArray("configurationFindings");
        mConfiguration.findingLines().forEach(lines::add);
        root.put("selfDoubt", mMembership.localHealthMultiplier());
        writeLoad(root.putObject("load"), mGate.load());
        final ArrayNode members = root.putArray("members");
        final List<Member> sorted =
                mMembership.members().stream().sorted(Comparator.comparing(Member::host)).toList();
        sorted.forEach(member -> writeMember(members.addObject(), member));
        return root;
    }

    private static void writeLoad(final ObjectNode node, final TargetLoad load) {
        node.put("inFlight", load.inFlight());
        node.put("queued", load.queued());
        node.put("allowance", load.allowance());
        node.put("serviceMicros", load.serviceMicros());
        node.put("accepting", load.accepting());
    }

    private static void writeMember(final ObjectNode node, final Member member) {
        node.put("host", member.host());
        node.put("dataCentre", member.dataCentre());
        node.put("peerAddress", member.peerAddress());
        node.put("status", member.status().name());
        member.target()
                .ifPresent(
                        target -> {
                            node.put("service", target.service());
                            node.put("slots", target.slots());
                            node.put("accepting", target.accepting());
                        });
    }
}
