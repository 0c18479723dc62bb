package io.bilberrylane.node;

import io.bilberrylane.base.DroppingAppender;
import io.bilberrylane.base.GuardedTask;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.ObjectJson;
import io.bilberrylane.platform.PlatformCounters;

/** The gauges that a node registers for its parts. */
final class NodeGauges {
    private final NodeMetrics mMetrics;

    NodeGauges(final NodeMetrics metrics) {
        mMetrics = metrics;
    }

    void registerConfiguration(final ConfigurationService configuration) {
        mMetrics.gauge(
                "bilberrylane.configuration.revision",
                "Revision of the configuration in force",
                () -> configuration.version().catalogue());
        mMetrics.gauge(
                "bilberrylane.configuration.findings",
                "Elements of the configuration in force that are not understood",
                () -> configuration.findings().size());
    }

    void registerGate(final Gate gate) {
        mMetrics.gauge(
                "bilberrylane.gate.in.flight",
                "Requests in service at the target",
                () -> gate.load().inFlight());
        mMetrics.gauge(
                "bilberrylane.gate.allowance",
                "Requests that may be in service at the target",
                () -> gate.load().allowance());
        mMetrics.gauge(
                "bilberrylane.gate.keys",
                "Idempotency keys remembered at the gate",
                gate::keyCount);
        mMetrics.gauge(
                "bilberrylane.target.connections.limit",
                "Connections to the target that the node opens at most",
                () -> gate.connections().limit());
        mMetrics.gauge(
                "bilberrylane.target.connections.counted",
                "Connections to the target that the pool counts",
                () -> gate.connections().counted());
        mMetrics.gauge(
                "bilberrylane.target.connections.open",
                "Connections to the target that are really open",
                () -> gate.connections().open());
        mMetrics.gauge(
                "bilberrylane.target.connections.refused",
                "Requests for a connection that were refused at the limit since the target's"
                        + " announcement",
                () -> gate.connections().refused());
    }

    void registerPlatform(final PlatformCounters counters, final DepartureStore departures) {
        mMetrics.gauge(
                "bilberrylane.departures.unsaved",
                "1 while the platform does not have all departures of the target",
                () -> departures.isSaved() ? 0 : 1);
        mMetrics.gauge(
                "bilberrylane.platform.reads",
                "Reads of the platform since the start",
                counters::reads);
        mMetrics.gauge(
                "bilberrylane.platform.writes",
                "Writes to the platform since the start",
                counters::writes);
        mMetrics.gauge(
                "bilberrylane.platform.failures",
                "Calls to the platform that failed since the start",
                counters::failures);
        mMetrics.gauge(
                "bilberrylane.platform.invalid.objects",
                "Objects of the platform that were ignored since the start",
                ObjectJson::invalidObjects);
    }

    void registerProcess(final Transport transport, final MembershipService membership) {
        mMetrics.gauge(
                "bilberrylane.log.dropped",
                "Log lines dropped since the start because too many waited",
                DroppingAppender::droppedCount);
        mMetrics.gauge(
                "bilberrylane.task.failures",
                "Runs of recurring tasks that failed with an unexpected error since the start",
                GuardedTask::failures);
        mMetrics.gauge(
                "bilberrylane.registrations.renewed",
                "Channels registered anew since the start, because the event queue did not know"
                        + " their descriptor",
                transport::renewedRegistrations);
        mMetrics.gauge(
                "bilberrylane.membership.datagram.bytes",
                "Bytes of membership datagrams sent and received since the start",
                membership::datagramBytes);
    }
}
