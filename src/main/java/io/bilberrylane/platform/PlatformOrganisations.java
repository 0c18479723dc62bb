package io.bilberrylane.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberrylane.base.Finding;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.KeyDigest;
import io.bilberrylane.catalogue.Organisation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Reads the organisations of the platform's configuration, which are {@code tenants} there. An
 * organisation whose name or list of keys cannot be read is left out with a finding, and so is a
 * single key; the others hold. A priority, rate or burst that cannot be read counts as missing: its
 * organisation's keys are valid all the same. No finding contains a key.
 *
 * <p>Nodes hand on the configuration with {@code apiKeyDigests}, the SHA-256 digests, in the place
 * of {@code apiKeys}.
 */
final class PlatformOrganisations {
    static final String LIST = "tenants";
    private static final String KEYS = "apiKeys";
    private static final String DIGESTS = "apiKeyDigests";
    private static final String NAME = "name";

    private final Catalogue.Builder mBuilder;
    private final List<Finding> mFindings;
    private final Set<String> mNames = new HashSet<>();
    private final Set<KeyDigest> mDigests = new HashSet<>();

    PlatformOrganisations(final Catalogue.Builder builder, final List<Finding> findings) {
        mBuilder = builder;
        mFindings = findings;
    }

    // -- reading

    /** Adds the organisations of a configuration; a list that cannot be read admits nobody. */
    void read(final JsonNode root, final String place) {
        final JsonNode list = root.path(LIST);
        if (list.isMissingNode() || list.isNull()) {
            return;
        }
        if (!list.isArray()) {
            error(place + " " + LIST, "not-a-list", "a list is expected");
            mBuilder.requireKeys();
            return;
        }
        int index = 0;
        for (final JsonNode element : list) {
            mBuilder.requireKeys();
            readOrganisation(element, place + " " + LIST + "[" + index++ + "]");
        }
    }

    private void readOrganisation(final JsonNode element, final String place) {
        try {
            final String name = FieldText.of(element, NAME);
            if (mNames.contains(name)) {
                error(place, "duplicate-name", "'" + name + "' is an earlier organisation too");
                return;
            }
            if (hasUnreadableKeys(element)) {
                error(place + " " + KEYS, "not-a-list", "a list is expected");
                return;
            }
            addOrganisation(element, place, name, digests(element, place));
        } catch (IllegalArgumentException e) {
            error(place, "bad-value", e.getMessage());
        }
    }

    /** An organisation that is left out holds no key, so that another one may hold it. */
    private void addOrganisation(
            final JsonNode element,
            final String place,
            final String name,
            final List<KeyDigest> digests) {
        try {
            mBuilder.organisation(
                    new Organisation(
                            name,
                            digests,
                            priority(element, place),
                            limit(element, "ratePerS", place),
                            limit(element, "burst", place)));
            mNames.add(name);
        } catch (IllegalArgumentException e) {
            digests.forEach(mDigests::remove);
            throw e;
        }
    }

    private static boolean hasUnreadableKeys(final JsonNode element) {
        final JsonNode keys = element.path(KEYS);
        return !keys.isArray() && !keys.isMissingNode() && !keys.isNull();
    }

    private List<KeyDigest> digests(final JsonNode element, final String place) {
        final List<KeyDigest> digests = new ArrayList<>();
        int index = 0;
        for (final JsonNode key : element.path(KEYS)) {
            final Optional<KeyDigest> digest =
                    isKey(key) ? Optional.of(KeyDigest.ofKey(key.asText())) : Optional.empty();
            add(digest, place + " " + KEYS + "[" + index++ + "]", digests);
        }
        index = 0;
        for (final JsonNode hex : element.path(DIGESTS)) {
            add(KeyDigest.ofHex(hex.asText()), place + " " + KEYS + "[" + index++ + "]", digests);
        }
        return digests;
    }

    private static boolean isKey(final JsonNode key) {
        return key.isTextual() && !key.asText().isBlank();
    }

    private void add(
            final Optional<KeyDigest> digest, final String place, final List<KeyDigest> digests) {
        if (digest.isEmpty()) {
            error(place, "bad-key", "a key is no text or empty");
        } else if (mDigests.add(digest.get())) {
            digests.add(digest.get());
        } else {
            error(place, "duplicate-key", "the key is listed before; the first one holds");
        }
    }

    private OptionalInt priority(final JsonNode element, final String place) {
        final JsonNode node = element.path("priority");
        if (node.isMissingNode() || node.isNull()) {
            return OptionalInt.empty();
        }
        if (!node.isIntegralNumber() || !node.canConvertToInt() || node.asInt() < 0) {
            error(place + " priority", "bad-value", "the priority is no whole number from 0");
            return OptionalInt.empty();
        }
        return OptionalInt.of(node.asInt());
    }

    private double limit(final JsonNode element, final String field, final String place) {
        final JsonNode node = element.path(field);
        if (node.isMissingNode() || node.isNull()) {
            return 0;
        }
        if (!node.isNumber() || !(node.asDouble() >= 0) || !Double.isFinite(node.asDouble())) {
            error(place + " " + field, "bad-value", field + " is no number from 0");
            return 0;
        }
        return node.asDouble();
    }

    private void error(final String place, final String code, final String message) {
        mFindings.add(Finding.error(place, code, message));
    }

    // -- handing on

    /** Returns a configuration without keys, whose findings and organisations are the same. */
    static JsonNode withDigests(final JsonNode configuration) {
        if (!(configuration instanceof ObjectNode) || !configuration.hasNonNull(LIST)) {
            return configuration;
        }
        final ObjectNode copy = configuration.deepCopy();
        if (!copy.path(LIST).isArray()) {
            copy.putObject(LIST);
            return copy;
        }
        for (final JsonNode element : copy.path(LIST)) {
            if (element instanceof ObjectNode organisation && organisation.hasNonNull(KEYS)) {
                replaceKeys(organisation);
            }
        }
        return copy;
    }

    /** Replaces keys by digests; anything but a list may hold a key too and is replaced. */
    private static void replaceKeys(final ObjectNode organisation) {
        final JsonNode keys = organisation.path(KEYS);
        if (!keys.isArray()) {
            organisation.putObject(KEYS);
            return;
        }
        final ArrayNode digests = organisation.arrayNode();
        for (final JsonNode key : keys) {
            digests.add(isKey(key) ? KeyDigest.ofKey(key.asText()).hex() : "");
        }
        organisation.remove(KEYS);
        organisation.set(DIGESTS, digests);
    }
}
