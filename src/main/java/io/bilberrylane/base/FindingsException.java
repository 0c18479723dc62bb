package io.bilberrylane.base;

import java.util.List;
import java.util.stream.Collectors;

/** Reports all findings of one check together. */
public final class FindingsException extends BilberrylaneException {
    private static final long serialVersionUID = 1L;

    private final transient List<Finding> mFindings;

    /**
     * Creates an exception that holds findings.
     *
     * @param code the code of the whole check
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
