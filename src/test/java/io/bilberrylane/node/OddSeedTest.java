package io.bilberrylane.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberrylane.platform.PlatformClient;
import java.net.URI;
import org.junit.jupiter.api.Test;

/** Another writer has left seeds in the platform that are no addresses, before any node started. */
final class OddSeedTest {
    private static final String ODD_SEEDS =
            "{\"nodes\":[{\"host\":\"x\",\"address\":\"127.0.0.1:99999\"},"
                    + "{\"host\":\"y\",\"address\":\"nowhere\"},{\"host\":7},null,[1],"
                    + "{\"host\":\"z\",\"address\":\"127.0.0.1:0\"}]}";

    @Test
    void shouldFindTheOtherNodes() throws Exception {
        try (Fleet fleet = new Fleet()) {
            final URI platform =
                    URI.create("http://127.0.0.1:" + fleet.mPlatform.address().getPort());
            final PlatformClient client = PlatformClient.of(fleet.mTransport, platform, 2_000);
            for (int i = 0; i < 4; i++) {
                client.create(SeedService.KIND, "odd-" + i, new ObjectMapper().readTree(ODD_SEEDS))
                        .join();
            }
            for (int i = 0; i < 3; i++) {
                fleet.addNode("dc-" + i, 1_000);
            }
            fleet.store().apply(Fleet.CATALOGUE, "tests", -1);
            Fleet.await(
                    () ->
                            fleet.mNodes.stream()
                                    .allMatch(node -> node.targetCount("calendar") == 3));
        }
    }
}
