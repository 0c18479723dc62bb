package io.bilberrylane.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.net.Transport;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.peer.PeerLinks;
import io.bilberrylane.peer.PeerMessage;
import io.bilberrylane.platform.PlatformProfile;
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

    /** The operator's store has accepted the document, so nodes apply what they understand. */
    @Test
    void shouldApplyWhatIsUnderstoodWhenThePlatformHasAcceptedIt() {
        final ConfigurationService service =
                new ConfigurationService(
                        PlatformProfile.of("", 1_000).format(),
                        PeerLinks.of(mTransport, new NodeIdentity("h", "dc", 1)),
                        version -> {});
        service.applyOutagesIfNewer(1, Set.of());
        final String text =
                "{'services':[{'name':'a'}],'virtualHosts':[{'host':'h','paths':["
                        + "{'pathPrefix':'/x/','type':'odd','timeoutS':1,'service':'a'},"
                        + "{'pathPrefix':'/y/','type':'safe','timeoutS':1},"
                        + "{'pathPrefix':'/z/','type':'safe','timeoutS':1,'service':'a'}]}]}";
        assertThat(service.applyIfNewer(7, text.replace('\'', '"'))).isTrue();
        assertThat(service.catalogue().route("h", "/x/")).isPresent();
        assertThat(service.catalogue().route("h", "/y/")).isEmpty();
        assertThat(service.catalogue().route("h", "/z/")).isPresent();
        assertThat(service.findings()).hasSize(2);
        assertThat(service.applyIfNewer(6, text.replace('\'', '"'))).isFalse();
        assertThat(service.applyIfNewer(8, "{}")).isFalse();
        assertThat(service.version().catalogue()).isEqualTo(7);
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
