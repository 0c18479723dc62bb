package io.bilberrylane.http;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.CatalogueReader;
import io.bilberrylane.net.Transport;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server whose responses are written by the test, and the cuts that it reports. */
final class ScriptedCalls implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final long EVENT_TIMEOUT_SECONDS = 5;
    private static final long NO_CALL_MILLIS = 300;

    /** Small, so that a large response stays unwritten until the caller reads. */
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    static final String REQUEST = "GET / HTTP/1.1\r\nHost: s\r\n\r\n";

    private static final String CATALOGUE =
            "schema: 1\nservices:\n- {service: s, owner: o, limits: {bodyBytes: 100000}}\n";

    private final BlockingQueue<Call> mCalls = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> mCuts = new LinkedBlockingQueue<>();
    private final Transport mTransport;
    private final HttpServer mServer;
    private volatile Runnable mBeforeRouting = () -> {};

    ScriptedCalls() {
        this(Transport.of(1));
    }

    /** Creates a server on a transport with one event loop, which ends with the server. */
    ScriptedCalls(final Transport transport) {
        mTransport = transport;
        final Catalogue catalogue = CatalogueReader.read("test", CATALOGUE).orThrow();
        mServer =
                HttpServer.bind(
                        mTransport,
                        new InetSocketAddress("127.0.0.1", 0),
                        () -> catalogue,
                        (route, head, executor, sink) -> {
                            mBeforeRouting.run();
                            final Call call = new Call(head, sink);
                            mCalls.add(call);
                            return call;
                        },
                        Optional.empty(),
                        "",
                        HeaderNames.OWN,
                        "",
                        new CutRecorder());
    }

    // -- calls

    /** One call; the test sends the events of its response. */
    static final class Call implements BodySink {
        private final ResponseSink mSink;
        private final CountDownLatch mRequestEnd;

        private Call(final CallHead head, final ResponseSink sink) {
            mSink = sink;
            mRequestEnd = new CountDownLatch(head.hasBody() ? 1 : 0);
        }

        void admit() {
            mSink.onAdmitted(TargetLoad.ABSENT);
        }

        void admitAndAwaitRequest() throws InterruptedException {
            admit();
            if (!mRequestEnd.await(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("the request was not read to its end");
            }
        }

        void refuse(final Refusal refusal) {
            mSink.onRefused(refusal, TargetLoad.ABSENT);
        }

        void respondWithHead(final int bodyBytes) {
            mSink.onAdmitted(TargetLoad.ABSENT);
            mSink.onHead(
                    ResponseHead.of(
                            200, List.of(new HeaderField("Content-Length", "" + bodyBytes))));
        }

        void respondWithBody(final int bytes) {
            mSink.onData(Unpooled.wrappedBuffer(new byte[bytes]));
        }

        void endResponse() {
            mSink.onEnd(TargetLoad.ABSENT);
        }

        void breakResponse() {
            mSink.onFailed(ErrorCode.TARGET_FAILED, CallPhase.STARTED);
        }

        @Override
        public void data(final ByteBuf bytes) {
            mSink.onCredit(bytes.readableBytes());
            bytes.release();
        }

        @Override
        public void end() {
            mRequestEnd.countDown();
        }

        @Override
        public void cancel() {
            // There is nothing to cancel.
        }

        @Override
        public void credit(final int bytes) {
            // The test sends the response whether or not the caller reads it.
        }
    }

    /** Returns the next call that the server has routed; fails if there is none. */
    Call nextCall() throws InterruptedException {
        final Call call = mCalls.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("no call was routed");
        }
        return call;
    }

    /** Returns whether another call is routed within a moment. */
    boolean hasNextCall() throws InterruptedException {
        return mCalls.poll(NO_CALL_MILLIS, TimeUnit.MILLISECONDS) != null;
    }

    /** Sets what runs in the server's event loop before each call. */
    void beforeRouting(final Runnable action) {
        mBeforeRouting = action;
    }

    /** Waits until the server has handled all events of its calls. */
    void awaitEvents() {
        mTransport.group().next().submit(() -> {}).syncUninterruptibly();
    }

    Transport transport() {
        return mTransport;
    }

    HttpServer server() {
        return mServer;
    }

    // -- caller

    Socket connect() throws IOException {
        final Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(mServer.address());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    static void sendRequest(final Socket socket) throws IOException {
        send(socket, REQUEST);
    }

    static void send(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static String readHead(final Socket socket) throws IOException {
        final StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            final int next = socket.getInputStream().read();
            if (next < 0) {
                return head.toString();
            }
            head.append((char) next);
        }
        return head.toString();
    }

    /** Returns the next reported cut; null if there is none for some seconds. */
    String nextCut() throws InterruptedException {
        return mCuts.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    boolean hasCuts() {
        return !mCuts.isEmpty();
    }

    private final class CutRecorder implements IngressMetrics {
        @Override
        public void recordResponse(
                final String service, final int status, final long durationNanos) {
            // Only the cuts are wanted.
        }

        @Override
        public void recordError(final String service, final String code, final boolean notRun) {
            // Only the cuts are wanted.
        }

        @Override
        public void recordCut(final String service, final String reason) {
            mCuts.add(reason);
        }
    }

    @Override
    public void close() {
        mServer.close();
        mTransport.close();
    }
}
