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
 * Reads settings in order of precedence from flags, environment variables, a settings file and
 * defaults. Invalid values are collected as findings.
 */
final class Settings {
    private final Namespace mNamespace;
    private final Map<String, String> mEnvironment;
    private final Map<String, Flag> mFlags;
    private final Map<String, String> mFileValues;
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
            final Map<String, String> fileValues) {
        mNamespace = namespace;
        mEnvironment = environment;
        mFlags = flags;
        mFileValues = fileValues;
    }

    /** Returns these settings with a file that flags and environment variables override. */
    Settings withFile(final Path path) {
        return new Settings(
                mNamespace, mEnvironment, mFlags, SettingsFile.read(path, mFlags.keySet()));
    }

    // -- values

    String text(final String name) {
        final Flag flag = mFlags.get(name);
        final String value = rawValue(flag);
        if (value.isBlank() && flag.defaultValue().isEmpty()) {
            mFindings.add(
                    Finding.error(
                            "--" + name,
                            "missing-setting",
                            "is required; set the flag or " + flag.environmentVariable()));
        }
        return value;
    }

    String optionalText(final String name) {
        return rawValue(mFlags.get(name));
    }

    /** Returns a value; empty if it is blank or the word "none". */
    Optional<String> textUnlessNone(final String name) {
        return Optional.of(rawValue(mFlags.get(name)).trim())
                .filter(value -> !value.isEmpty() && !value.equals("none"));
    }

    /** Returns a value that must be one of the allowed words. */
    String choice(final String name, final List<String> allowed) {
        return parse(
                name,
                text -> {
                    if (!allowed.contains(text)) {
                        throw new IllegalArgumentException(
                                "'" + text + "' is not one of " + allowed);
                    }
                    return text;
                },
                allowed.get(0));
    }

    InetSocketAddress address(final String name) {
        return parse(name, Addresses::parse, new InetSocketAddress(0));
    }

    List<InetSocketAddress> addresses(final String name) {
        return parse(
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
        return parse(
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

    long number(final String name, final long min, final long max) {
        return parse(
                name,
                text -> {
                    final long value = Long.parseLong(text.trim());
                    if (value < min || value > max) {
                        throw new IllegalArgumentException(
                                value + " is outside the range " + min + " to " + max);
                    }
                    return value;
                },
                min);
    }

    double decimal(final String name, final double min, final double max) {
        return parse(
                name,
                text -> {
                    final double value = Double.parseDouble(text.trim());
                    if (!(value >= min && value <= max)) {
                        throw new IllegalArgumentException(
                                value + " is outside the range " + min + " to " + max);
                    }
                    return value;
                },
                min);
    }

    /** Throws all findings together if there are any. */
    void orThrow() {
        if (!mFindings.isEmpty()) {
            throw new FindingsException(ErrorCode.SETTINGS_INVALID, mFindings);
        }
    }

    // -- reading

    private String rawValue(final Flag flag) {
        final String flagValue = mNamespace.getString(flag.destination());
        if (flagValue != null) {
            return flagValue;
        }
        return mEnvironment.getOrDefault(
                flag.environmentVariable(),
                mFileValues.getOrDefault(flag.name(), flag.defaultValue()));
    }

    private <T> T parse(final String name, final Function<String, T> parser, final T placeholder) {
        final String value = text(name);
        if (value.isBlank()) {
            return placeholder;
        }
        try {
            return parser.apply(value);
        } catch (NumberFormatException e) {
            mFindings.add(
                    Finding.error("--" + name, "bad-value", "'" + value + "' is not a number"));
        } catch (IllegalArgumentException e) {
            mFindings.add(Finding.error("--" + name, "bad-value", e.getMessage()));
        }
        return placeholder;
    }
}
