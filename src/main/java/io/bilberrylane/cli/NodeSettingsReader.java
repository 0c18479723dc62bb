package io.bilberrylane.cli;

import io.bilberrylane.http.InterfaceProfile;
import io.bilberrylane.node.NodeAddresses;
import io.bilberrylane.node.NodeSettings;
import io.bilberrylane.node.OwnProfile;
import io.bilberrylane.platform.PlatformProfile;
import io.bilberrylane.policy.FleetBounds;
import io.bilberrylane.policy.QuotaBounds;
import io.bilberrylane.policy.RolloutSettings;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Declares the flags of a node and reads its settings from them. */
final class NodeSettingsReader {
    private NodeSettingsReader() {}

    static List<Flag> flags() {
        final FleetBounds bounds = FleetBounds.DEFAULT;
        final QuotaBounds quota = QuotaBounds.DEFAULT;
        return List.of(
                Flag.of("config", "FILE", "a YAML file of these settings", "none"),
                Flag.required("host", "NAME", "host name, unique in the fleet"),
                Flag.required("data-centre", "NAME", "data centre of this host"),
                Flag.of(
                        "regions",
                        "DC=REGION,...",
                        "the region of each data centre; none when there is one region",
                        "none"),
                Flag.of(
                        "service",
                        "NAME",
                        "the service beside this node, sent to targets; none when there is none",
                        "none"),
                Flag.of("caller-address", "IP:PORT", "where callers connect", "127.0.0.1:0"),
                Flag.of("peer-address", "IP:PORT", "where other nodes connect", "127.0.0.1:0"),
                Flag.of(
                        "target-address",
                        "IP:PORT",
                        "where the target announces itself and sends its own calls",
                        "127.0.0.1:0"),
                Flag.of(
                        "operator-address",
                        "IP:PORT",
                        "serves /healthz, /readyz, /metrics and /status",
                        "127.0.0.1:0"),
                Flag.of(
                        "readiness-address",
                        "IP:PORT",
                        "additional address for /readyz; none for the operator address only",
                        "none"),
                Flag.required("platform", "URL", "the platform's object API, http://IP:PORT"),
                Flag.of(
                        "interface",
                        "own|platform",
                        "interface of the node to callers, targets and operators",
                        "own"),
                Flag.of(
                        "served-address",
                        "IP:PORT",
                        "the only address that the target may announce; any for every address",
                        "any"),
                Flag.of(
                        "announcement-seconds",
                        "S",
                        "interval of heartbeats from targets of the platform, in seconds",
                        "1"),
                Flag.of("workers", "COUNT", "worker threads", "1"),
                Flag.of(
                        "drain-seconds",
                        "S",
                        "time between the signal to stop and the end of the process, in seconds",
                        "10"),
                Flag.of(
                        "cold-overage",
                        "FACTOR",
                        "multiple of its announced rate that a cold target may receive",
                        String.valueOf(bounds.coldOverage())),
                Flag.of(
                        "cold-slack",
                        "COUNT",
                        "additional requests per second that a cold target may receive",
                        String.valueOf(bounds.coldSlack())),
                Flag.of(
                        "retry-ratio",
                        "PART",
                        "arrivals at a second target, as a fraction of a service's calls",
                        String.valueOf(bounds.retryRatio())),
                Flag.of(
                        "retry-window-seconds",
                        "S",
                        "sliding window that these arrivals are counted over, in seconds",
                        String.valueOf(bounds.retryWindowMillis() / 1_000)),
                Flag.of(
                        "retry-slack",
                        "COUNT",
                        "additional arrivals at a second target in that window, fleet-wide",
                        String.valueOf(bounds.retrySlack())),
                Flag.of(
                        "probes-per-second",
                        "RATE",
                        "probes per second that one target may receive",
                        String.valueOf(bounds.probesPerSecond())),
                Flag.of(
                        "quota-window-seconds",
                        "S",
                        "sliding window that the calls of an organisation are counted over, in"
                                + " seconds",
                        String.valueOf(quota.windowMillis() / 1_000)),
                Flag.of(
                        "quota-overage",
                        "PART",
                        "calls in addition to an organisation's limit, as a fraction of it",
                        String.valueOf(quota.overage())),
                Flag.of(
                        "quota-slack",
                        "COUNT",
                        "additional calls of an organisation in that window, fleet-wide",
                        String.valueOf(quota.slack())),
                Flag.of(
                        "exposure-share",
                        "PART",
                        "share of a service's requests that a version on trial may receive; none"
                                + " when the node takes part in no roll-outs",
                        "none"),
                Flag.of(
                        "exposure-slack",
                        "COUNT",
                        "additional requests that a version on trial may receive, fleet-wide",
                        "0"));
    }

    static NodeSettings read(final Settings settings) {
        final NodeSettings nodeSettings =
                new NodeSettings(
                        settings.text("host"),
                        settings.text("data-centre"),
                        regions(settings.textUnlessNone("regions").orElse("")),
                        settings.textUnlessNone("service").orElse(""),
                        addresses(settings),
                        settings.httpUri("platform"),
                        (int) settings.number("workers", 1, 64),
                        Math.round(settings.decimal("drain-seconds", 0, 3_600) * 1_000),
                        bounds(settings),
                        profile(settings),
                        quotaBounds(settings),
                        rollouts(settings));
        settings.orThrow();
        return nodeSettings;
    }

    private static NodeAddresses addresses(final Settings settings) {
        return new NodeAddresses(
                settings.address("caller-address"),
                settings.address("peer-address"),
                settings.address("target-address"),
                settings.address("operator-address"),
                settings.textUnlessNone("readiness-address")
                        .map(value -> settings.address("readiness-address")));
    }

    private static FleetBounds bounds(final Settings settings) {
        return new FleetBounds(
                settings.decimal("cold-overage", 0, 1_000),
                settings.decimal("cold-slack", 0, 1_000_000),
                settings.decimal("retry-ratio", 0, 1),
                Math.round(settings.decimal("retry-window-seconds", 0.001, 3_600) * 1_000),
                settings.decimal("retry-slack", 0, 1_000_000),
                settings.decimal("probes-per-second", 0, 1_000_000));
    }

    private static QuotaBounds quotaBounds(final Settings settings) {
        return new QuotaBounds(
                Math.round(settings.decimal("quota-window-seconds", 0.001, 3_600) * 1_000),
                settings.decimal("quota-overage", 0, 1_000),
                settings.decimal("quota-slack", 0, 1_000_000));
    }

    private static Optional<RolloutSettings> rollouts(final Settings settings) {
        return settings.textUnlessNone("exposure-share")
                .map(
                        value ->
                                new RolloutSettings(
                                        settings.decimal("exposure-share", 0, 1),
                                        settings.decimal("exposure-slack", 0, 1_000_000)));
    }

    private static InterfaceProfile profile(final Settings settings) {
        final String servedAddress = settings.text("served-address");
        final long heartbeatIntervalMillis =
                Math.max(1, Math.round(settings.decimal("announcement-seconds", 0, 60) * 1_000));
        return settings.choice("interface", List.of("own", "platform")).equals("platform")
                ? PlatformProfile.of(
                        servedAddress.equals("any") ? "" : servedAddress, heartbeatIntervalMillis)
                : OwnProfile.create();
    }

    private static Map<String, String> regions(final String text) {
        final Map<String, String> regions = new LinkedHashMap<>();
        for (final String entry : text.split(",")) {
            final int equalsIndex = entry.indexOf('=');
            if (equalsIndex > 0) {
                regions.put(
                        entry.substring(0, equalsIndex).trim(),
                        entry.substring(equalsIndex + 1).trim());
            }
        }
        return regions;
    }

    static Optional<String> configFile(final Settings settings) {
        return settings.textUnlessNone("config");
    }
}
