package io.bilberrylane.peer;

/** Opens calls at a gate, beside this process or behind a link. */
public interface CallOpener {
    /** Credit that both directions of a call start with, in bytes. */
    int INITIAL_CREDIT_BYTES = 64 * 1024;

    /**
     * Opens a call.
     *
     * @param head the call
     * @param sink receives the answer
     * @return takes the body
     */
    BodySink open(CallHead head, ResponseSink sink);
}
