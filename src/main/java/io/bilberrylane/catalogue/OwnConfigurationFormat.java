package io.bilberrylane.catalogue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/** The format of this project, which {@code ctl apply} writes. */
public final class OwnConfigurationFormat implements ConfigurationFormat {
    /** The format of orders for roll-outs, which {@code ctl rollout} writes. */
    public static final RolloutFormat ROLLOUTS =
            new RolloutFormat("version", "durationSeconds", "rolled-back");

    @Override
    public String kind() {
        return ConfigurationDocument.KIND;
    }

    @Override
    public String name() {
        return ConfigurationDocument.NAME;
    }

    @Override
    public Optional<String> outageKind() {
        return Optional.empty();
    }

    @Override
    public RolloutFormat rollouts() {
        return ROLLOUTS;
    }

    @Override
    public ConfigurationDocument document(final long version, final JsonNode spec) {
        final ConfigurationDocument stored = ConfigurationDocument.read(spec);
        return new ConfigurationDocument(
                stored.revision(),
                stored.changeId(),
                stored.author(),
                KeyRedaction.redact(stored.text()));
    }

    @Override
    public CatalogueCheck check(final String place, final String text) {
        return CatalogueReader.read(place, text);
    }
}
