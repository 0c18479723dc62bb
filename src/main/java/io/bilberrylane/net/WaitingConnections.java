package io.bilberrylane.net;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;

/** Accepts the connections that wait in the queue of a TCP server that is about to close. */
final class WaitingConnections {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Room for an address of the operating system, whose first byte holds its length. */
    private static final int ADDRESS_BYTES = 26;

    /** The system drops further connection requests; their senders repeat them after a second. */
    private static final int CLOSED_BACKLOG = 0;

    private WaitingConnections() {}

    /** Stops queueing new connections and accepts all queued ones. Runs on the event loop. */
    static void accept(final EpollServerSocketChannel listener) {
        if (!(listener.fd() instanceof Socket socket)) {
            return;
        }
        try {
            socket.listen(CLOSED_BACKLOG);
            final byte[] address = new byte[ADDRESS_BYTES];
            int descriptor = socket.accept(address);
            while (descriptor >= 0) {
                listener.pipeline().fireChannelRead(new EpollSocketChannel(descriptor));
                descriptor = socket.accept(address);
            }
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("waiting connections could not be accepted");
        }
    }
}
