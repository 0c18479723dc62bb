package io.bilberrylane.peer;

/** Replies to the requests of peers. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Returns the reply to a request, without blocking.
     *
     * @param request the request
     * @return the reply, with the same request id
     */
    PeerMessage.Reply handle(PeerMessage.Request request);
}
