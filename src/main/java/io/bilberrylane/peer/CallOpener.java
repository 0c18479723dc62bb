package io.bilberrylane.peer;

/** Opens calls at a gate, either in this process or over a link. */
public interface CallOpener {
    /** The initial credit of each direction of a call, in bytes. */
    int INITIAL_CREDIT_BYTES = 64 * 1024;

    /**
     * Opens a call.
     *
     * @param head the head of the call
     * @param sink receives the response
     * @return receives the body
     */
    BodySink open(CallHead head, ResponseSink sink);
}
