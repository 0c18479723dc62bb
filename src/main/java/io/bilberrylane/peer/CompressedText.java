package io.bilberrylane.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/**
 * A gzip-compressed text. A configuration of a thousand routes is reduced to a tenth, which
 * determines how soon it becomes active where links are slow.
 */
public final class CompressedText {
    /** The empty text. */
    public static final CompressedText EMPTY = new CompressedText(new byte[0]);

    private static final int MAX_TEXT_BYTES = 64 * 1024 * 1024;

    private final byte[] mBytes;

    private CompressedText(final byte[] bytes) {
        mBytes = bytes;
    }

    /**
     * Compresses a text.
     *
     * @param text the text
     * @return the compressed text
     */
    public static CompressedText of(final String text) {
        Objects.requireNonNull(text, "text is null");
        if (text.isEmpty()) {
            return EMPTY;
        }
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("text cannot be compressed in memory", e);
        }
        return new CompressedText(bytes.toByteArray());
    }

    static CompressedText ofBytes(final byte[] bytes) {
        return new CompressedText(bytes.clone());
    }

    /**
     * Returns whether the text is empty.
     *
     * @return true for {@link #EMPTY}
     */
    public boolean isEmpty() {
        return mBytes.length == 0;
    }

    /**
     * Decompresses the text.
     *
     * @return the text, or empty if the bytes are not a compressed text of at most 64 MiB
     */
    public Optional<String> text() {
        if (isEmpty()) {
            return Optional.of("");
        }
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(mBytes))) {
            final byte[] text = in.readNBytes(MAX_TEXT_BYTES + 1);
            return text.length > MAX_TEXT_BYTES
                    ? Optional.empty()
                    : Optional.of(new String(text, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    byte[] toBytes() {
        return mBytes.clone();
    }

    @Override
    public boolean equals(final Object other) {
        return other instanceof CompressedText compressed
                && Arrays.equals(mBytes, compressed.mBytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mBytes);
    }

    @Override
    public String toString() {
        return mBytes.length + " compressed bytes";
    }
}
