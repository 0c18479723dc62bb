package io.bilberrylane.peer;

import io.netty.buffer.ByteBuf;

/** Receives the request body of one call and the caller's flow control. Never blocks. */
public interface BodySink {
    /**
     * Sends a part of the body, within the credit.
     *
     * @param bytes the part; owned by the sink, which releases it
     */
    void data(ByteBuf bytes);

    /** Ends the body. */
    void end();

    /** Cancels the call; no event follows. */
    void cancel();

    /**
     * Allows more of the response to be sent.
     *
     * @param bytes additional credit in bytes
     */
    void credit(int bytes);
}
