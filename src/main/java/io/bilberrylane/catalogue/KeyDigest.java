package io.bilberrylane.catalogue;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of an organisation's key. The key itself is never kept.
 *
 * @param hash the digest; compared in constant time
 */
public record KeyDigest(HashCode hash) {
    private static final Pattern HEX = Pattern.compile("[0-9a-f]{64}");
    private static final int SHORT_DIGITS = 8;

    /** Checks that the digest is present. */
    public KeyDigest {
        Objects.requireNonNull(hash, "hash is null");
    }

    /**
     * Returns the digest of a key.
     *
     * @param key the key
     * @return its digest
     */
    public static KeyDigest ofKey(final String key) {
        return ofKey(key.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the digest of a key.
     *
     * @param key the bytes of the key as they are sent
     * @return its digest
     */
    public static KeyDigest ofKey(final byte[] key) {
        return new KeyDigest(Hashing.sha256().hashBytes(key));
    }

    /**
     * Returns the digest that a text denotes.
     *
     * @param hex the digest in hexadecimal digits
     * @return the digest, or empty if the text is no SHA-256 digest
     */
    public static Optional<KeyDigest> ofHex(final String hex) {
        final String lowerCase = hex.toLowerCase(Locale.ROOT);
        return HEX.matcher(lowerCase).matches()
                ? Optional.of(new KeyDigest(HashCode.fromString(lowerCase)))
                : Optional.empty();
    }

    /**
     * Returns the digest as text.
     *
     * @return 64 hexadecimal digits
     */
    public String hex() {
        return hash.toString();
    }

    /**
     * Returns the beginning of the digest, by which an operator who has the key recognises it.
     *
     * @return {@value #SHORT_DIGITS} hexadecimal digits
     */
    public String shortHex() {
        return hash.toString().substring(0, SHORT_DIGITS);
    }

    /** Returns only the beginning of the digest, so that no log line allows a test of guesses. */
    @Override
    public String toString() {
        return "sha256:" + shortHex();
    }
}
