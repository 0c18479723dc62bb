package io.bilberrylane.peer;

/** Answers the questions of peers. */
@FunctionalInterface
public interface RequestHandler {
    /**
     * Returns the answer to a question, without blocking.
     *
     * @param request the question
     * @return the answer, with the same number
     */
    PeerMessage.Reply handle(PeerMessage.Request request);
}
