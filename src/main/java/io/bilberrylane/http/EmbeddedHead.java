package io.bilberrylane.http;

/**
 * What the bytes of a body from a status line on are: the head of a response, its beginning, or
 * neither.
 *
 * @param state whether the bytes are a head
 * @param end the position after the head, if it is complete
 * @param bodyBytes the length of the body that follows; {@link #UNKNOWN_LENGTH} if the head does
 *     not tell it
 * @param answersRequest whether a field holds the identity of a request of the connection
 */
record EmbeddedHead(State state, int end, long bodyBytes, boolean answersRequest) {
    static final long UNKNOWN_LENGTH = Long.MAX_VALUE / 2;

    /** Whether the bytes are a head. */
    enum State {
        NONE,
        INCOMPLETE,
        COMPLETE
    }
}
