package io.bilberrylane.http;

/** Records the outcomes of calls as callers see them. */
public interface IngressMetrics {
    /** Records nothing. */
    IngressMetrics NONE =
            new IngressMetrics() {
                @Override
                public void recordResponse(
                        final String service, final int status, final long durationNanos) {
                    // Nothing is recorded.
                }

                @Override
                public void recordError(
                        final String service, final String code, final boolean notRun) {
                    // Nothing is recorded.
                }

                @Override
                public void recordCut(final String service, final String reason) {
                    // Nothing is recorded.
                }
            };

    /**
     * Records that a target's response reached the caller.
     *
     * @param service the catalogue entry
     * @param status the HTTP status
     * @param durationNanos the time since the head of the request, in nanoseconds
     */
    void recordResponse(String service, int status, long durationNanos);

    /**
     * Records that a call was refused or failed.
     *
     * @param service the catalogue entry, or empty
     * @param code the error code
     * @param notRun whether the call certainly was not run
     */
    void recordError(String service, String code, boolean notRun);

    /**
     * Records that a caller did not get a whole response to a request that was read.
     *
     * @param service the catalogue entry, or empty
     * @param reason why, one of a few words
     */
    void recordCut(String service, String reason);

    /**
     * Records the end of a request of an organisation. By default, nothing is recorded.
     *
     * @param organisation the name of the organisation; empty if there is none
     * @param outcome the class of the status that was passed on, or {@code not-run} or {@code
     *     unknown}
     */
    default void recordOrganisation(final String organisation, final String outcome) {
        // Nothing is recorded.
    }

    /**
     * Records a request that is refused for want of a key. By default, nothing is recorded.
     *
     * @param reason why, one of a few words
     */
    default void recordUnknownKey(final String reason) {
        // Nothing is recorded.
    }
}
