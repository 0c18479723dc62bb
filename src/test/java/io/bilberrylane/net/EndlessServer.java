package io.bilberrylane.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Answers each request with a beginning and then with the same text, until it cannot write. */
public final class EndlessServer implements AutoCloseable {
    private static final int BACKLOG = 64;
    private static final int REPEATED_CHARS = 4_096;

    private final ServerSocket mServer;
    private final byte[] mBeginning;
    private final byte[] mRepeated;
    private final AtomicLong mWrittenBytes = new AtomicLong();
    private final AtomicLong mRequests = new AtomicLong();

    private EndlessServer(final ServerSocket server, final String beginning, final String unit) {
        mServer = server;
        mBeginning = beginning.getBytes(StandardCharsets.ISO_8859_1);
        mRepeated =
                unit.repeat(1 + REPEATED_CHARS / unit.length())
                        .getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Starts a server.
     *
     * @param beginning what it writes once on each connection
     * @param unit what it writes without end
     * @return a running server
     * @throws IOException if it cannot listen
     */
    public static EndlessServer start(final String beginning, final String unit)
            throws IOException {
        final ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        final EndlessServer server = new EndlessServer(socket, beginning, unit);
        Thread.ofPlatform().daemon().start(server::accept);
        return server;
    }

    /**
     * Returns where the server listens.
     *
     * @return IP and port
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.getLocalPort());
    }

    /**
     * Returns how much the server could write on all connections.
     *
     * @return a number of bytes
     */
    public long writtenBytes() {
        return mWrittenBytes.get();
    }

    /**
     * Returns how many requests have come.
     *
     * @return a count
     */
    public long requests() {
        return mRequests.get();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                final Socket socket = mServer.accept();
                Thread.ofPlatform().daemon().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(final Socket socket) {
        try (socket) {
            readHead(socket.getInputStream());
            mRequests.incrementAndGet();
            socket.getOutputStream().write(mBeginning);
            while (!mServer.isClosed()) {
                socket.getOutputStream().write(mRepeated);
                mWrittenBytes.addAndGet(mRepeated.length);
            }
        } catch (IOException e) {
            // The other end has closed the connection.
        }
    }

    private static void readHead(final InputStream socketIn) throws IOException {
        final InputStream in = new BufferedInputStream(socketIn);
        int newlines = 0;
        while (newlines < 2) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("the connection was closed before the request");
            }
            if (next != '\r') {
                newlines = next == '\n' ? newlines + 1 : 0;
            }
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
