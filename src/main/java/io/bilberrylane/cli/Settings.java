package io.bilberrylane.cli;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.Finding;
import io.bilberrylane.base.FindingsException;
import io.bilberrylane.node.Addresses;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Reads settings from flags, then environment variables, then a file, then defaults; collects
 * findings.
 */
final class Settings {
    private final Namespace mNamespace;
    private final Map<String, String> mEnvironment;
    private final Map<String, Flag> mFlags;
    private final Map<String, String> mFile;
    private final List<Finding> mFindings = new ArrayList<>();

    Settings(
            final Namespace namespace,
            final Map<String, String> environment,
            final Map<String, Flag> flags) {
        this(namespace, environment, flags, Map.of());
    }

    private Settings(
            final Namespace namespace,
            final Map<String, String> environment,
            final Map<String, Flag> flags,
            final Map<String, String> file) {
        mNamespace = namespace;
        mEnvironment = environment;
        mFlags = flags;
        mFile = file;
    }

    /** Returns these settings with those of a file below flags and environment variables. */
    Settings withFile(final Path path) {
        return new Settings(
                mNamespace, mEnvironment, mFlags, SettingsFile.read(path, mFlags.keySet()));
    }

    // -- values

    String text(final String name) {
        final Flag flag = mFlags.get(name);
        final String value = raw(flag);
        if (value.isBlank() && flag.fallback().isEmpty()) {
            mFindings.add(
                    Finding.error(
                            "--" + name,
                            "missing-setting",
                            "is required; set the flag or " + flag.variable()));
        }
        return value;
    }

    String optionalText(final String name) {
        return raw(mFlags.get(name));
    }

    /** Returns a value, or nothing when it is the word "none" or blank. */
    Optional<String> noneOr(final String name) {
        return Optional.of(raw(mFlags.get(name)).trim())
                .filter(value -> !value.isEmpty() && !value.equals("none"));
    }

    /** Returns a value that must be one of a few words. */
    String choice(final String name, final List<String> words) {
        return parsed(
                name,
                text -> {
                    if (!words.contains(text)) {
                        throw new IllegalArgumentException("'" + text + "' is none of " + words);
                    }
                    return text;
                },
                words.get(0));
    }

    InetSocketAddress address(final String name) {
        return parsed(name, Addresses::parse, new InetSocketAddress(0));
    }

    List<InetSocketAddress> addresses(final String name) {
        return parsed(
                name,
                text -> {
                    final List<InetSocketAddress> addresses = new ArrayList<>();
                    for (final String part : text.split(",")) {
                        addresses.add(Addresses.parse(part.trim()));
                    }
                    return addresses;
                },
                List.of());
    }

    URI httpUri(final String name) {
        return parsed(
                name,
                text -> {
                    final URI uri = URI.create(text);
                    if (!"http".equals(uri.getScheme()) || uri.getPort() < 0) {
                        throw new IllegalArgumentException("'" + text + "' is not http://IP:PORT");
                    }
                    return uri;
                },
                URI.create("http://127.0.0.1:0"));
    }

    long number(final String name, final long least, final long most) {
        return parsed(
                name,
                text -> {
                    final long value = Long.parseLong(text.trim());
                    if (value < least || value > most) {
                        throw new IllegalArgumentException(
                                value + " is not from " + least + " to " + most);
                    }
                    return value;
                },
                least);
    }

    double decimal(final String name, final double least, final double most) {
        return parsed(
                name,
                text -> {
                    final double value = Double.parseDouble(text.trim());
                    if (!(value >= least && value <= most)) {
                        throw new IllegalArgumentException(
                                value + " is not from " + least + " to " + most);
                    }
                    return value;
                },
                least);
    }

    /** Throws all findings together, if there are any. */
    void orThrow() {
        if (!mFindings.isEmpty()) {
            throw new FindingsException(ErrorCode.SETTINGS_INVALID, mFindings);
        }
    }

    // -- reading

    private String raw(final Flag flag) {
        final String given = mNamespace.getString(flag.destination());
        if (given != null) {
            return given;
        }
        return mEnvironment.getOrDefault(
                flag.variable(), mFile.getOrDefault(flag.name(), flag.fallback()));
    }

    private <T> T parsed(final String name, final Function<String, T> parser, final T placeholder) {
        final String value = text(name);
        if (value.isBlank()) {
            return placeholder;
        }
        try {
            return parser.apply(value);
        } catch (NumberFormatException e) {
            mFindings.add(Finding.error("--" + name, "bad-value", "'" + value + "' is no number"));
        } catch (IllegalArgumentException e) {
            mFindings.add(Finding.error("--" + name, "bad-value", e.getMessage()));
        }
        return placeholder;
    }
}
