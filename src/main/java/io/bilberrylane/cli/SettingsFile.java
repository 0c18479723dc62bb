package io.bilberrylane.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.Finding;
import io.bilberrylane.base.FindingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A YAML file of settings, each named as its flag; flags and environment variables go before it.
 */
final class SettingsFile {
    private SettingsFile() {}

    /**
     * Returns the settings of a file.
     *
     * @param path the file
     * @param allowedNames the names that a file may hold
     * @return values by name
     * @throws FindingsException with SETTINGS_INVALID when the file cannot be read or names others
     */
    static Map<String, String> read(final Path path, final Set<String> allowedNames) {
        final List<Finding> findings = new ArrayList<>();
        final Map<String, String> values = new LinkedHashMap<>();
        for (final Map.Entry<String, JsonNode> field : readRoot(path).properties()) {
            if (!allowedNames.contains(field.getKey())) {
                findings.add(
                        Finding.error(
                                path + ": " + field.getKey(), "unknown-setting", "is no setting"));
            } else if (field.getValue().isContainerNode()) {
                findings.add(
                        Finding.error(
                                path + ": " + field.getKey(), "bad-value", "must be one value"));
            } else if (!field.getValue().isNull()) {
                values.put(field.getKey(), field.getValue().asText());
            }
        }
        if (!findings.isEmpty()) {
            throw new FindingsException(ErrorCode.SETTINGS_INVALID, findings);
        }
        return values;
    }

    private static JsonNode readRoot(final Path path) {
        try {
            final JsonNode root = new YAMLMapper().readTree(Files.readString(path));
            if (root.isObject()) {
                return root;
            }
            throw invalid(path, "holds no settings");
        } catch (IOException e) {
            throw invalid(path, e.toString());
        }
    }

    private static FindingsException invalid(final Path path, final String message) {
        return new FindingsException(
                ErrorCode.SETTINGS_INVALID,
                List.of(Finding.error(path.toString(), "unreadable-settings", message)));
    }
}
