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
 * Reads a YAML file of settings whose fields have the names of the flags. Flags and environment
 * variables take precedence over the file.
 */
final class SettingsFile {
    private SettingsFile() {}

    /**
     * Returns the settings of a file.
     *
     * @param path the file
     * @param allowedNames the names of settings that the file may contain
     * @return the values by name, without fields that are null
     * @throws FindingsException with SETTINGS_INVALID if the file cannot be read, contains another
     *     name, or a field is not a single value
     */
    static Map<String, String> read(final Path path, final Set<String> allowedNames) {
        final List<Finding> findings = new ArrayList<>();
        final Map<String, String> values = new LinkedHashMap<>();
        for (final Map.Entry<String, JsonNode> field : readRoot(path).properties()) {
            if (!allowedNames.contains(field.getKey())) {
                findings.add(
                        Finding.error(
                                path + ": " + field.getKey(),
                                "unknown-setting",
                                "is not a setting"));
            } else if (field.getValue().isContainerNode()) {
                findings.add(
                        Finding.error(
                                path + ": " + field.getKey(),
                                "bad-value",
                                "must be a single value"));
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
            throw invalid(path, "is not a mapping of settings");
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
