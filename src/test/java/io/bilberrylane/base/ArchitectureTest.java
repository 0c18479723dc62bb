package io.bilberrylane.base;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the one-way dependencies between packages, and that pure packages use no clock, random
 * numbers, threads, Netty or I/O.
 */
final class ArchitectureTest {
    private static final Path ROOT = Path.of("src/main/java/io/bilberrylane");
    private static final Pattern TYPE_REFERENCE =
            Pattern.compile("io\\.bilberrylane\\.([a-z]+)\\.[A-Z]");
    private static final Pattern IMPURE =
            Pattern.compile(
                    "io\\.netty|System\\.(nanoTime|currentTimeMillis)|Math\\.random|new Thread"
                            + "|ThreadLocalRandom|java\\.io\\.|java\\.net\\.|java\\.nio\\.file");
    private static final Set<String> PURE_PACKAGES =
            Set.of("catalogue", "policy", "membership", "outcome");

    /** For each package, the packages that it may use. */
    private static final Map<String, Set<String>> ALLOWED_DEPENDENCIES =
            Map.ofEntries(
                    Map.entry("base", Set.of()),
                    Map.entry("net", Set.of()),
                    Map.entry("catalogue", Set.of("base")),
                    Map.entry("policy", Set.of("base", "catalogue")),
                    Map.entry("membership", Set.of("base")),
                    Map.entry("outcome", Set.of("base")),
                    Map.entry("peer", Set.of("base", "net", "policy", "membership", "outcome")),
                    Map.entry("platform", Set.of("base", "net", "catalogue", "membership", "http")),
                    Map.entry(
                            "http",
                            Set.of(
                                    "base",
                                    "net",
                                    "catalogue",
                                    "policy",
                                    "membership",
                                    "outcome",
                                    "peer")),
                    Map.entry(
                            "node",
                            Set.of(
                                    "base",
                                    "net",
                                    "catalogue",
                                    "policy",
                                    "membership",
                                    "outcome",
                                    "peer",
                                    "platform",
                                    "http")),
                    Map.entry("ctl", Set.of("base", "net", "catalogue", "platform")),
                    Map.entry("load", Set.of("base", "net")),
                    Map.entry(
                            "capacity",
                            Set.of("base", "catalogue", "policy", "membership", "outcome", "peer")),
                    Map.entry("soak", Set.of("net", "standin")),
                    Map.entry("standin", Set.of("base", "net", "platform", "http")),
                    Map.entry(
                            "cli",
                            Set.of(
                                    "base",
                                    "net",
                                    "catalogue",
                                    "policy",
                                    "http",
                                    "platform",
                                    "node",
                                    "ctl",
                                    "load",
                                    "standin",
                                    "soak",
                                    "capacity")));

    private static Map<String, List<Path>> sourcesByPackage() throws IOException {
        final Map<String, List<Path>> sources = new HashMap<>();
        try (Stream<Path> files = Files.walk(ROOT)) {
            files.filter(file -> file.toString().endsWith(".java"))
                    .forEach(
                            file ->
                                    sources.computeIfAbsent(
                                                    file.getParent().getFileName().toString(),
                                                    name -> new ArrayList<>())
                                            .add(file));
        }
        return sources;
    }

    @Test
    void shouldUseOnlyAllowedPackagesWhenSourcesAreRead() throws IOException {
        final Set<String> violations = new HashSet<>();
        for (final Map.Entry<String, List<Path>> packageSources : sourcesByPackage().entrySet()) {
            assertThat(ALLOWED_DEPENDENCIES).containsKey(packageSources.getKey());
            for (final Path file : packageSources.getValue()) {
                final Matcher references = TYPE_REFERENCE.matcher(Files.readString(file));
                while (references.find()) {
                    final String used = references.group(1);
                    if (!used.equals(packageSources.getKey())
                            && !ALLOWED_DEPENDENCIES.get(packageSources.getKey()).contains(used)) {
                        violations.add(file + " uses " + used);
                    }
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    @Test
    void shouldNotUseClocksOrIoWhenAPackageIsPure() throws IOException {
        final Set<String> violations = new HashSet<>();
        for (final Map.Entry<String, List<Path>> packageSources : sourcesByPackage().entrySet()) {
            for (final Path file :
                    PURE_PACKAGES.contains(packageSources.getKey())
                            ? packageSources.getValue()
                            : List.<Path>of()) {
                final boolean isParser = file.endsWith("PlacedReader.java");
                final Matcher impure = IMPURE.matcher(Files.readString(file));
                if (impure.find() && !(isParser && impure.group().equals("java.io."))) {
                    violations.add(file + " has " + impure.group());
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    @Test
    void shouldHaveAPackageInfoWhenAPackageHasSources() throws IOException {
        for (final String packageName : sourcesByPackage().keySet()) {
            assertThat(ROOT.resolve(packageName).resolve("package-info.java")).exists();
        }
    }
}
