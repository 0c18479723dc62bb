package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.standin.TargetStandIn;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** All nodes fail and restart together while the platform still lists their seeds. */
final class FullRestartTest {
    private static final int NODES = 8;

    /** The maximum time from the restart of the nodes until full service, in milliseconds. */
    private static final long RECOVERY_LIMIT_MILLIS = 3_000;

    private static boolean isRecovered(final List<Node> nodes) {
        return nodes.stream()
                .allMatch(node -> node.revision() > 0 && node.targetCount("calendar") == NODES);
    }

    @Test
    void shouldKnowAllTargetsAndTheConfigurationWithinThreeSeconds() {
        try (Fleet fleet = Fleet.of(NODES, 1_000)) {
            fleet.mTargets.forEach(TargetStandIn::close);
            fleet.mNodes.forEach(Node::close);
            fleet.mNodes.clear();
            fleet.mTargets.clear();
            for (int i = 0; i < NODES; i++) {
                fleet.addNode("dc-" + i % 2, 1_000);
            }
            final long startNanos = System.nanoTime();
            Fleet.await(() -> isRecovered(fleet.mNodes));
            final long elapsedNanos = System.nanoTime() - startNanos;
            assertThat(TimeUnit.NANOSECONDS.toMillis(elapsedNanos))
                    .isLessThan(RECOVERY_LIMIT_MILLIS);
        }
    }
}
