package io.bilberrylane.base;

import java.util.List;
import java.util.stream.Collectors;

/** Reports all findings of one check. Its message has one line for each finding. */
public final class FindingsException extends BilberrylaneException {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> mFindings;

    /**
     * Creates an exception with findings.
     *
     * @param code the error code of the check
     * @param findings the findings, at least one
     */
    public FindingsException(final ErrorCode code, final List<Finding> findings) {
        super(code, findings.stream().map(Finding::line).collect(Collectors.joining("\n")));
        mFindings = List.copyOf(findings);
    }

    /**
     * Returns the findings.
     *
     * @return an immutable list
     */
    public List<Finding> findings() {
        return mFindings;
    }
}
