package io.bilberrylane.catalogue;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.Finding;
import io.bilberrylane.base.FindingsException;
import io.bilberrylane.base.Severity;
import java.util.List;
import java.util.Objects;

/**
 * The result of reading a catalogue.
 *
 * @param catalogue what was read; incomplete when there are errors
 * @param findings everything that the check found, in the document's order
 */
public record CatalogueCheck(Catalogue catalogue, List<Finding> findings) {
    /** Copies the findings. */
    public CatalogueCheck {
        Objects.requireNonNull(catalogue, "catalogue is null");
        findings = List.copyOf(findings);
    }

    /**
     * Returns whether the catalogue may be applied.
     *
     * @return false when any finding is an error
     */
    public boolean isValid() {
        return findings.stream().noneMatch(finding -> finding.severity() == Severity.ERROR);
    }

    /**
     * Returns the catalogue.
     *
     * @return a catalogue without errors
     * @throws FindingsException with CATALOGUE_INVALID and every finding
     */
    public Catalogue orThrow() {
        if (!isValid()) {
            throw new FindingsException(ErrorCode.CATALOGUE_INVALID, findings);
        }
        return catalogue;
    }
}
