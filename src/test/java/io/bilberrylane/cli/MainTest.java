package io.bilberrylane.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class MainTest {
    private record Outcome(int status, String errors) {}

    private static Outcome run(final Map<String, String> environment, final String... arguments) {
        final PrintStream errors = System.err;
        final ByteArrayOutputStream captured = new ByteArrayOutputStream();
        System.setErr(new PrintStream(captured, true, StandardCharsets.UTF_8));
        try {
            final int status = Main.run(arguments, environment);
            return new Outcome(status, captured.toString(StandardCharsets.UTF_8));
        } finally {
            System.setErr(errors);
        }
    }

    @Nested
    class InvalidSettings {
        @Test
        void shouldReportEveryFindingWhenSeveralSettingsAreInvalid() {
            final Outcome outcome =
                    run(Map.of(), "node", "--caller-address", "x", "--workers", "none");
            assertThat(outcome.status()).isEqualTo(2);
            assertThat(outcome.errors())
                    .contains("--host", "BILBERRYLANE_HOST", "--data-centre", "--platform")
                    .contains("--caller-address: error: 'x' is not IP:PORT")
                    .contains("--workers: error: 'none' is not a number");
        }

        @Test
        void shouldExitWithStatusTwoWhenAFlagIsUnknown() {
            assertThat(run(Map.of(), "node", "--unknown", "x").status()).isEqualTo(2);
        }
    }

    @Nested
    class Precedence {
        @Test
        void shouldPreferTheFlagWhenTheEnvironmentVariableIsSetToo() {
            final Map<String, String> environment =
                    Map.of("BILBERRYLANE_WORKERS", "many", "BILBERRYLANE_HOST", "h");
            assertThat(run(environment, "node", "--workers", "0").errors())
                    .contains("--workers: error: 0 is outside the range 1 to 64")
                    .doesNotContain("--host");
            assertThat(run(environment, "node").errors()).contains("'many' is not a number");
        }
    }

    @Nested
    class CtlCheck {
        @Test
        void shouldReportEveryFindingWhenACatalogueIsInvalid(@TempDir final Path folder)
                throws IOException {
            final Path file = folder.resolve("c.yaml");
            Files.writeString(file, "schema: 1\nservices: [{service: a}]\n");
            final Outcome outcome = run(Map.of(), "ctl", "check", file.toString());
            assertThat(outcome.status()).isEqualTo(2);
            assertThat(outcome.errors()).contains("c.yaml:2:12: error: field 'owner' is required");
        }

        @Test
        void shouldSucceedWhenACatalogueIsValid() {
            assertThat(run(Map.of(), "ctl", "check", "deploy/castor.yaml").status()).isZero();
        }

        @Test
        void shouldNameTheFileWhenItCannotBeRead() {
            assertThat(run(Map.of(), "ctl", "check", "missing.yaml").errors())
                    .contains("file 'missing.yaml' cannot be read");
        }
    }
}
