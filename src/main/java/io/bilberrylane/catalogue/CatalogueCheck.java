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
 * @param partial whether the catalogue may be applied without the elements that have errors,
 *     because its author has no way to correct them
 */
public record CatalogueCheck(Catalogue catalogue, List<Finding> findings, boolean partial) {
    /** Checks for null and copies the findings. */
    public CatalogueCheck {
        Objects.requireNonNull(catalogue, "catalogue is null");
        findings = List.copyOf(findings);
    }

    /**
     * Returns the result of a check whose catalogue is applied as a whole or not at all.
     *
     * @param catalogue the catalogue; incomplete if there are errors
     * @param findings all findings, in the order in which they were found
     * @return the result
     */
    public static CatalogueCheck whole(final Catalogue catalogue, final List<Finding> findings) {
        return new CatalogueCheck(catalogue, findings, false);
    }

    /**
     * Returns the result of a check whose catalogue is applied as far as it is understood.
     *
     * @param catalogue everything that was understood
     * @param findings all findings, in the order in which they were found
     * @return the result
     */
    public static CatalogueCheck partial(final Catalogue catalogue, final List<Finding> findings) {
        return new CatalogueCheck(catalogue, findings, true);
    }

    /**
     * Returns whether a node may apply the catalogue.
     *
     * @return true if it has no errors, or if it may be applied in part and holds a route
     */
    public boolean isApplicable() {
        return isValid() || partial && catalogue.hasRoutes();
    }

    /**
     * Returns whether the catalogue has no errors.
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
