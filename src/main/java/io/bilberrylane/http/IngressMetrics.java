package io.bilberrylane.http;

/** Takes note of what callers experience. */
public interface IngressMetrics {
    /** Ignores everything. */
    IngressMetrics NONE =
            new IngressMetrics() {
                @Override
                public void recordResponse(
                        final String service, final int status, final long durationNanos) {
                    // Nothing is counted.
                }

                @Override
                public void recordError(
                        final String service, final String code, final boolean notRun) {
                    // Nothing is counted.
                }
            };

    /**
     * A target's answer reached the caller.
     *
     * @param service the catalogue entry
     * @param status the HTTP status
     * @param durationNanos time since the request's head, in nanoseconds
     */
    void recordResponse(String service, int status, long durationNanos);

    /**
     * A call was refused or failed.
     *
     * @param service the catalogue entry, or empty
     * @param code the error code
     * @param notRun whether the call certainly was not run
     */
    void recordError(String service, String code, boolean notRun);
}
