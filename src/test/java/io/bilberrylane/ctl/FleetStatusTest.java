package io.bilberrylane.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class FleetStatusTest {
    private static NodeStatus node(final String host, final List<String> findings) {
        return new NodeStatus("127.0.0.1:1", true, host, "dc", 5, findings, 2, 0, 4);
    }

    @Test
    void shouldPrintEachFindingOnceWithTheNumberOfNodes() {
        final FleetStatus status =
                new FleetStatus(
                        List.of(
                                node("a", List.of("paths[1]: odd")),
                                node("b", List.of("paths[1]: odd", "paths[0]: odd")),
                                node("c", List.of())));
        assertThat(status.table().lines())
                .containsSubsequence(
                        "not understood by 1 of the queried nodes: paths[0]: odd",
                        "not understood by 2 of the queried nodes: paths[1]: odd",
                        "revision 5 is in force on every asked node");
    }
}
