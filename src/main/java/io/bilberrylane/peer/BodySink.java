package io.bilberrylane.peer;

import io.netty.buffer.ByteBuf;

/** Takes the body of one call and the caller's side of its flow control. Never blocks. */
public interface BodySink {
    /**
     * Sends a part of the body, within the credit.
     *
     * @param bytes owned by the receiver, which releases it
     */
    void data(ByteBuf bytes);

    /** Ends the body. */
    void end();

    /** Gives the call up; no event follows. */
    void cancel();

    /**
     * Allows more of the answer to be sent.
     *
     * @param bytes additional credit in bytes
     */
    void credit(int bytes);
}
