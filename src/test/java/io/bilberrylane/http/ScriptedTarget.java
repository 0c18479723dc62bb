package io.bilberrylane.http;

import io.bilberrylane.net.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A target whose side of each connection is written by the test, with a pool of connections to it
 * and the recorded events of the exchanges.
 */
final class ScriptedTarget implements AutoCloseable {
    /** A response with this field belongs to an earlier request. */
    static final String EARLIER_ID = "Id: old\r\n";

    static final String MISMATCHED = "mismatched";
    static final String ABORTED = "aborted";

    /** An exchange ends with one of these events. */
    static final String COMPLETE = "complete";

    static final String BROKEN = "broken";

    static final String UNREACHABLE = "unreachable";
    static final String AT_LIMIT = "at-limit";
    private static final Set<String> ENDS =
            Set.of(COMPLETE, BROKEN, ABORTED, UNREACHABLE, AT_LIMIT);
    private static final int ACCEPT_TIMEOUT_MILLIS = 5_000;
    private static final long ABORT_DELAY_MILLIS = 30;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final long REMAINING_WAIT_NANOS = 1_000_000_000L;
    private static final long EVENT_TIMEOUT_SECONDS = 5;

    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
    private final ServerSocket mServer;
    private final Transport mTransport;
    private final TargetConnectionPool mPool;

    private ScriptedTarget(
            final ServerSocket server, final Transport transport, final TargetConnectionPool pool) {
        mServer = server;
        mTransport = transport;
        mPool = pool;
    }

    /** Listens with a small receive buffer, so that a large request body stays unwritten. */
    static ScriptedTarget listen() throws IOException {
        return listen(TargetConnectionPool.MAX_WAIT_MILLIS);
    }

    /** Listens; a request waits for a connection for the given time at most. */
    static ScriptedTarget listen(final long maxWaitMillis) throws IOException {
        final ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        final Transport transport = Transport.of(1);
        final TargetConnectionPool pool =
                TargetConnectionPool.of(
                        transport,
                        new TargetPoolSettings(
                                new InetSocketAddress("127.0.0.1", server.getLocalPort()), 4, 0),
                        maxWaitMillis);
        return new ScriptedTarget(server, transport, pool);
    }

    @Override
    public void close() throws IOException {
        mPool.close();
        mTransport.close();
        mServer.close();
    }

    // -- requests

    /** Sends a request with a body of the given length; a length of 0 means no body. */
    void send(final String method, final int bodyBytes) {
        send(method, bodyBytes, "");
    }

    /** Sends a request with an identity; a length of 0 means no body. */
    void send(final String method, final int bodyBytes, final String identity) {
        send(method, bodyBytes, identity, Recorder::new);
    }

    /** Sends a request and requests each part of the response a little after the one before. */
    void sendAndReadSlowly(final String method, final int bodyBytes, final long delayMillis) {
        send(
                method,
                bodyBytes,
                "",
                connection ->
                        new Recorder(connection) {
                            @Override
                            public void onContent(final ByteBuf bytes) {
                                record(bytes);
                                connection
                                        .eventLoop()
                                        .schedule(
                                                connection::read,
                                                delayMillis,
                                                TimeUnit.MILLISECONDS);
                            }
                        });
    }

    private void send(
            final String method,
            final int bodyBytes,
            final String identity,
            final Function<TargetConnection, TargetResponseListener> listener) {
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                identity,
                connection -> {
                    final HttpRequest request =
                            new DefaultHttpRequest(
                                    HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), "/");
                    request.headers().set(HttpHeaderNames.HOST, "target");
                    if (bodyBytes > 0) {
                        HttpUtil.setContentLength(request, bodyBytes);
                    }
                    connection.send(request, identity, bodyBytes == 0, listener.apply(connection));
                    if (bodyBytes > 0) {
                        connection.sendBody(Unpooled.wrappedBuffer(new byte[bodyBytes]));
                        connection.endBody();
                    }
                },
                this::recordRefusal);
    }

    /**
     * Sends a request without a body, reads no more than the first part of the response, and aborts
     * the exchange a little later.
     */
    void sendAndAbortAtFirstPart() {
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                connection ->
                        connection.send(
                                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                true,
                                new Recorder(connection) {
                                    @Override
                                    public void onContent(final ByteBuf bytes) {
                                        bytes.release();
                                        connection
                                                .eventLoop()
                                                .schedule(
                                                        () ->
                                                                connection.abort(
                                                                        () -> mEvents.add(ABORTED)),
                                                        ABORT_DELAY_MILLIS,
                                                        TimeUnit.MILLISECONDS);
                                    }
                                }),
                this::recordRefusal);
    }

    /** Sends a request without a body and aborts it at once. */
    void sendAndAbort() {
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                connection -> {
                    connection.send(
                            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                            true,
                            new Recorder(connection));
                    connection.abort(() -> mEvents.add(ABORTED));
                },
                this::recordRefusal);
    }

    /** Acquires a connection for an exchange that is not started. */
    TargetConnection acquire() throws Exception {
        final CompletableFuture<TargetConnection> acquired = new CompletableFuture<>();
        mPool.acquire(
                mTransport.group().next(),
                Long.MAX_VALUE,
                acquired::complete,
                acquired::completeExceptionally);
        return acquired.get(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends a request without a body on a connection, from a thread that is no event loop. */
    void sendOn(final TargetConnection connection) {
        connection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                true,
                new Recorder(connection));
    }

    private void recordRefusal(final Throwable cause) {
        mEvents.add(cause instanceof ConnectionLimitException ? AT_LIMIT : UNREACHABLE);
    }

    void closePool() {
        mPool.close();
    }

    void stopListening() throws IOException {
        mServer.close();
    }

    Socket accept() throws IOException {
        return mServer.accept();
    }

    /** Accepts the connection and waits for the beginning of the request. */
    Socket acceptRequest() throws IOException {
        final Socket socket = accept();
        if (socket.getInputStream().read() < 0) {
            throw new IOException("the connection was closed before the request");
        }
        return socket;
    }

    /** Waits for a request on a connection in use; returns false if it has not come in time. */
    static boolean awaitRequest(final Socket socket, final int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        try {
            final boolean hasCome = socket.getInputStream().read() >= 0;
            readAvailable(socket);
            return hasCome;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }

    /** Reads what has arrived, so that closing the connection does not reset it. */
    static void readAvailable(final Socket socket) throws IOException {
        socket.getInputStream().skipNBytes(socket.getInputStream().available());
    }

    static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Resets the connection once the other end has had the time to read what was written. */
    static void reset(final Socket socket) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(60);
        socket.setSoLinger(true, 0);
        socket.close();
    }

    // -- events

    /** Returns the next event; null if there is none for some seconds. */
    String nextEvent() throws InterruptedException {
        return mEvents.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Returns how the exchange ended; null if it did not. */
    String end() throws InterruptedException {
        String event = nextEvent();
        while (event != null && !ENDS.contains(event)) {
            event = nextEvent();
        }
        return event;
    }

    boolean hasEvents() {
        return !mEvents.isEmpty();
    }

    int openConnections() {
        return mPool.open();
    }

    /**
     * Returns the number of connections that the pool counts once it is zero, or after a second.
     * The pool learns of the end of a connection after the exchange on it has ended.
     */
    int remainingConnections() throws InterruptedException {
        final long startNanos = System.nanoTime();
        while (mPool.open() > 0 && System.nanoTime() - startNanos < REMAINING_WAIT_NANOS) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return mPool.open();
    }

    private class Recorder implements TargetResponseListener {
        private final TargetConnection mConnection;

        private Recorder(final TargetConnection connection) {
            mConnection = connection;
        }

        @Override
        public boolean onResponse(final HttpResponse response) {
            final boolean matching = !"old".equals(response.headers().get("Id"));
            mEvents.add(matching ? "head " + response.status().code() : MISMATCHED);
            return matching;
        }

        @Override
        public void onContent(final ByteBuf bytes) {
            record(bytes);
            mConnection.read();
        }

        protected final void record(final ByteBuf bytes) {
            mEvents.add(bytes.toString(StandardCharsets.ISO_8859_1));
            bytes.release();
        }

        @Override
        public void onComplete() {
            mEvents.add(COMPLETE);
        }

        @Override
        public void onFailure(final Throwable cause) {
            mEvents.add(BROKEN);
        }

        @Override
        public void onBodyWritten(final int bytes) {
            // The events of the response are enough.
        }
    }
}
