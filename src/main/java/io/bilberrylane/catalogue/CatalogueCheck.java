package io.bilberrylane.catalogue;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.base.Finding;
import io.bilberrylane.base.FindingsException;
import io.bilberrylane.base.Severity;
import java.util.List;
import java.util.Objects;

/**
 * The result of reading and validating a catalogue.
 *
 * @param catalogue the catalogue; incomplete if there are errors
 * @param findings all findings, in the order in which they were found
 */
public record CatalogueCheck(Catalogue catalogue, List<Finding> findings) {
    /** Checks for null and copies the findings. */
    public CatalogueCheck {
        Objects.requireNonNull(catalogue, "catalogue is null");
        findings = List.copyOf(findings);
    }

    /**
     * Returns whether the catalogue may be applied.
     *
     * @return false if any finding is an error
     */
    public boolean isValid() {
        return findings.stream().noneMatch(finding -> finding.severity() == Severity.ERROR);
    }

    /**
     * Returns the catalogue if it is valid.
     *
     * @return the catalogue, without errors
     * @throws FindingsException with {@code CATALOGUE_INVALID} and all findings if any is an error
     */
    public Catalogue orThrow() {
        if (!isValid()) {
            throw new FindingsException(ErrorCode.CATALOGUE_INVALID, findings);
        }
        return catalogue;
    }
}
