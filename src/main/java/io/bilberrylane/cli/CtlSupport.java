package io.bilberrylane.cli;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.net.Transport;
import io.bilberrylane.platform.PlatformClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.BiFunction;

/** Flags and helpers that the ctl subcommands share. */
final class CtlSupport {
    static final Flag PLATFORM =
            Flag.required("platform", "URL", "the platform's object API, http://IP:PORT");
    static final Flag TIMEOUT =
            Flag.of("timeout-millis", "MS", "longest time for one call, in milliseconds", "3000");

    private CtlSupport() {}

    static int withPlatform(
            final Settings settings, final BiFunction<Transport, PlatformClient, Integer> action) {
        final java.net.URI platform = settings.httpUri("platform");
        final long timeoutMillis = settings.number("timeout-millis", 1, 600_000);
        settings.orThrow();
        try (Transport transport = Transport.of(1)) {
            return action.apply(transport, PlatformClient.of(transport, platform, timeoutMillis));
        }
    }

    static String readFile(final String name) {
        try {
            return Files.readString(Path.of(name), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new BilberrylaneException(
                    ErrorCode.SETTINGS_INVALID, "file '" + name + "' cannot be read", e);
        }
    }
}
