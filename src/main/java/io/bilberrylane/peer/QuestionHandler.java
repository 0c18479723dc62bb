package io.bilberrylane.peer;

/** Answers the questions of peers. */
@FunctionalInterface
public interface QuestionHandler {
    /**
     * Returns the answer to a question, without blocking.
     *
     * @param question the question
     * @return the answer, with the same number
     */
    PeerMessage.Reply answer(PeerMessage.Question question);
}
