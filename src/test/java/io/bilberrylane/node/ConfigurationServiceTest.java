package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ConfigurationServiceTest {
    private final Transport mTransport = Transport.of(1);
    private final List<ConfigurationVersion> mAppliedVersions = new ArrayList<>();
    private final ConfigurationService mService =
            new ConfigurationService(
                    new OwnConfigurationFormat(),
                    PeerLinks.of(mTransport, new NodeIdentity("h", "dc", 1)),
                    mAppliedVersions::add);

    @AfterEach
    void stop() {
        mTransport.close();
    }

    private static String catalogue(final String service) {
        return "schema: 1\nservices:\n  - {service: " + service + ", owner: o}\n";
    }

    @Test
    void shouldIgnoreAnOlderCatalogueWhenItArrivesLate() {
        assertThat(mService.applyIfNewer(5, catalogue("new"))).isTrue();
        assertThat(mService.applyIfNewer(4, catalogue("old"))).isFalse();
        assertThat(mService.applyIfNewer(5, catalogue("same"))).isFalse();
        assertThat(mService.catalogue().services()).containsExactly("new");
    }

    @Test
    void shouldKeepTheCatalogueWhenANewerOneIsNotValid() {
        mService.applyIfNewer(5, catalogue("new"));
        assertThat(mService.applyIfNewer(6, "schema: 9")).isFalse();
        assertThat(mService.version().catalogue()).isEqualTo(5);
    }

    @Test
    void shouldVersionCatalogueAndOutagesIndependently() {
        mService.applyOutagesIfNewer(9, Set.of("dc-1"));
        mService.applyIfNewer(5, catalogue("a"));
        assertThat(mService.catalogue().isInService("x", "dc-1")).isFalse();
        assertThat(mService.applyOutagesIfNewer(8, Set.of())).isFalse();
        assertThat(mService.applyOutagesIfNewer(12, Set.of())).isTrue();
        assertThat(mService.catalogue().isInService("x", "dc-1")).isTrue();
        assertThat(mAppliedVersions)
                .containsExactly(
                        new ConfigurationVersion(0, 9),
                        new ConfigurationVersion(5, 9),
                        new ConfigurationVersion(5, 12));
    }

    @Test
    void shouldSendTheCatalogueOnlyWhenTheRequesterIsBehind() {
        mService.applyIfNewer(5, catalogue("a"));
        final PeerMessage.ConfigurationReply same =
                mService.replyTo(
                        new PeerMessage.ConfigurationPull(1, new ConfigurationVersion(5, 0)));
        final PeerMessage.ConfigurationReply behind =
                mService.replyTo(
                        new PeerMessage.ConfigurationPull(1, new ConfigurationVersion(4, 0)));
        assertThat(same.document().isEmpty()).isTrue();
        assertThat(behind.document().text()).contains(catalogue("a"));
    }
}
