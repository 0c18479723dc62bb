package io.bilberrylane.catalogue;

import io.bilberrylane.base.Finding;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Reads and validates the organisations of a catalogue. No finding contains a key. */
final class OrganisationReader {
    static final String LIST = "organisations";
    static final String KEYS = "keys";

    /** Marks a key that is given by its digest. */
    static final String DIGEST_PREFIX = "sha256:";

    private static final int MAX_PRIORITY = 100;
    private static final double MAX_RATE = 1e9;

    private final List<Finding> mFindings;
    private final Map<String, String> mPlaceByName = new HashMap<>();
    private final Map<KeyDigest, String> mPlaceByDigest = new HashMap<>();

    OrganisationReader(final List<Finding> findings) {
        mFindings = findings;
    }

    /** Returns the organisation of a node, or empty if it has errors. */
    Optional<Organisation> read(final PlacedNode node) {
        return MappingReader.of(node, "an organisation", mFindings).flatMap(this::readFields);
    }

    private Optional<Organisation> readFields(final MappingReader mapping) {
        final int findingsBefore = mFindings.size();
        final String name = name(mapping);
        final List<KeyDigest> digests = keyDigests(mapping);
        final OptionalInt priority =
                mapping.node("priority").isPresent()
                        ? OptionalInt.of((int) mapping.number("priority", 0, 0, MAX_PRIORITY))
                        : OptionalInt.empty();
        final double ratePerSecond = mapping.decimal("ratePerSecond", 0, 0, MAX_RATE);
        final double burst = mapping.decimal("burst", 0, 0, MAX_RATE);
        mapping.reportUnknownFields();
        return mFindings.size() > findingsBefore
                ? Optional.empty()
                : Optional.of(new Organisation(name, digests, priority, ratePerSecond, burst));
    }

    private String name(final MappingReader mapping) {
        final String name = mapping.requiredText("name");
        if (name.isEmpty()) {
            return name;
        }
        if (!Organisation.isName(name)) {
            mapping.error(
                    mapping.place("name"),
                    "bad-name",
                    "the name must consist of at most 128 printable ASCII characters");
        }
        final String previousPlace = mPlaceByName.putIfAbsent(name, mapping.place("name"));
        if (previousPlace != null) {
            mapping.error(
                    mapping.place("name"),
                    "duplicate-name",
                    "'" + name + "' is already the name of the organisation at " + previousPlace);
        }
        return name;
    }

    private List<KeyDigest> keyDigests(final MappingReader mapping) {
        final List<KeyDigest> digests = new ArrayList<>();
        for (final PlacedNode node : mapping.items(KEYS)) {
            if (node instanceof PlacedNode.Scalar scalar) {
                digest(mapping, scalar).ifPresent(digests::add);
            } else {
                mapping.error(node.place(), "not-a-value", "a key must be a text");
            }
        }
        return digests;
    }

    private Optional<KeyDigest> digest(
            final MappingReader mapping, final PlacedNode.Scalar scalar) {
        final Optional<KeyDigest> digest = digestOf(scalar.text());
        if (digest.isEmpty()) {
            mapping.error(
                    scalar.place(),
                    "bad-key",
                    "a key must be a text that is not empty, or sha256: and 64 hexadecimal digits");
            return digest;
        }
        final String previousPlace = mPlaceByDigest.putIfAbsent(digest.get(), scalar.place());
        if (previousPlace != null) {
            mapping.error(
                    scalar.place(),
                    "duplicate-key",
                    "the key is already listed at " + previousPlace);
            return Optional.empty();
        }
        return digest;
    }

    /** Returns the digest of a key as it is written in a catalogue; empty if it is no key. */
    static Optional<KeyDigest> digestOf(final String text) {
        if (text.startsWith(DIGEST_PREFIX)) {
            return KeyDigest.ofHex(text.substring(DIGEST_PREFIX.length()));
        }
        return text.isBlank() ? Optional.empty() : Optional.of(KeyDigest.ofKey(text));
    }
}
