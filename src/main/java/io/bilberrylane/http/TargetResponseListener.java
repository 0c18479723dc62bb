package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of a target, on the connection's event loop. */
public interface TargetResponseListener {
    /**
     * The answer begins.
     *
     * @param response its head
     * @return false when it answers another request, sent on this connection before; it is dropped
     *     then, and the right one awaited
     */
    boolean onResponse(HttpResponse response);

    /**
     * A part of the answer's body.
     *
     * @param bytes owned by the receiver
     */
    void onContent(ByteBuf bytes);

    /** The answer is complete. Last event. */
    void onComplete();

    /**
     * The connection ended before the answer did, or the target broke HTTP. Last event.
     *
     * @param cause what was seen
     */
    void onFailure(Throwable cause);

    /**
     * Body data reached the connection.
     *
     * @param bytes the data's length
     */
    void onBodyWritten(int bytes);
}
