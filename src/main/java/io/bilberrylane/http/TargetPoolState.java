package io.bilberrylane.http;

/**
 * The connections of a pool at one moment.
 *
 * @param limit the most that the pool opens
 * @param counted the connections that the pool counts: open, being opened or being closed
 * @param open those of them whose channel is connected
 * @param idle those of them that a request can take
 * @param waiting the requests that wait for one
 * @param refused the requests for a connection that were refused at the limit so far
 */
public record TargetPoolState(
        int limit, int counted, int open, int idle, int waiting, long refused) {
    /** The state of a pool that does not exist. */
    public static final TargetPoolState NONE = new TargetPoolState(0, 0, 0, 0, 0, 0);
}
