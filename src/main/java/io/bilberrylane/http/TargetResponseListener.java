package io.bilberrylane.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response of a target, on the event loop of the connection. */
public interface TargetResponseListener {
    /**
     * Called when the response begins.
     *
     * @param response the head of the response
     * @return false if it belongs to another request that was sent on this connection before; it is
     *     then dropped and the matching response awaited
     */
    boolean onResponse(HttpResponse response);

    /**
     * Called when a part of the response body arrives.
     *
     * @param bytes the part; the receiver owns and releases it
     */
    void onContent(ByteBuf bytes);

    /** Called when the response is complete. Last event. */
    void onComplete();

    /**
     * Called when the connection ended before the response did, or the target violated HTTP. Last
     * event.
     *
     * @param cause the observed failure
     */
    void onFailure(Throwable cause);

    /**
     * Called when a part of the request body was written to the connection.
     *
     * @param bytes the length of the part, in bytes
     */
    void onBodyWritten(int bytes);
}
