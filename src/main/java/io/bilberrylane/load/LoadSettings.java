package io.bilberrylane.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * The settings of a run.
 *
 * @param operations the mix
 * @param nodes caller addresses of nodes
 * @param versus addresses that take half of the calls for comparison; may be empty
 * @param controls control addresses of target stand-ins; may be empty
 * @param callsPerSecond arrivals per second
 * @param seconds length of the run, in seconds
 * @param answerBytes length of each answer, in bytes
 * @param uploadBytes length of each upload, in bytes
 * @param warmUpSeconds start of the run that latencies leave out, in seconds
 * @param organisationKeys the keys of organisations among which each call draws one; empty if calls
 *     carry none
 * @param seed of every random choice
 */
public record LoadSettings(
        List<Operation> operations,
        List<InetSocketAddress> nodes,
        List<InetSocketAddress> versus,
        List<InetSocketAddress> controls,
        double callsPerSecond,
        double seconds,
        int answerBytes,
        long uploadBytes,
        double warmUpSeconds,
        List<String> organisationKeys,
        long seed) {
    /** Copies the lists and checks that there is something to call. */
    public LoadSettings {
        operations = List.copyOf(operations);
        nodes = List.copyOf(nodes);
        versus = List.copyOf(versus);
        controls = List.copyOf(controls);
        organisationKeys = List.copyOf(organisationKeys);
        Objects.checkIndex(0, operations.size());
        Objects.checkIndex(0, nodes.size());
    }
}
