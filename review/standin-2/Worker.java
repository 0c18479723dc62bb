import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker as our pages describe it: it announces itself, answers its health path, runs at most as
 * many requests at once as it has slots, and rejects a request that names another worker.
 */
final class Worker {
    static final int SLOTS = 6;
    private static final long PAUSE_MILLIS = 2;

    /** What a worker does with a request that it runs. */
    interface Job {
        /** Returns the status of the answer; negative to reset the connection without one. */
        int run(Run run) throws Exception;
    }

    /** A request that has run, or begun to. */
    record Run(
            String worker, Http.Head head, int bodyBytes, double startSeconds, boolean crashes) {
        String id() {
            return head.header("x-request-id");
        }
    }

    final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    private final Fleet mFleet;
    private final Fleet.Machine mMachine;
    private final int mPort;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicInteger mSequence = new AtomicInteger();
    private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket mServer;
    private volatile String mId = "";
    private volatile long mBorn;
    private volatile double mHeartbeatSeconds;
    private volatile Job mJob = run -> 200;
    private volatile int mSlots = SLOTS;
    private volatile boolean mTellsLoad = true;
    private volatile int mAnswerBytes;
    private volatile int mPieceBytes = Integer.MAX_VALUE / 2;
    private int mStarts;

    Worker(final Fleet fleet, final Fleet.Machine machine) throws IOException {
        mFleet = fleet;
        mMachine = machine;
        mPort = Fleet.freePort();
    }

    int port() {
        return mPort;
    }

    String id() {
        return mId;
    }

    void setJob(final Job job) {
        mJob = job;
    }

    void setSlots(final int slots) {
        mSlots = slots;
    }

    /** Lets the answers have a length and come in pieces of another one, with pauses. */
    void setAnswers(final int bytes, final int pieceBytes) {
        mAnswerBytes = bytes;
        mPieceBytes = pieceBytes;
    }

    /** Returns the whole body of a worker's answer; each line of a long one names the worker. */
    static byte[] answer(final String worker, final String requestId, final int bytes) {
        final String line = "answer of " + worker + " to " + requestId;
        if (bytes == 0) {
            return Http.bytes(line);
        }
        final StringBuilder text = new StringBuilder();
        while (text.length() < bytes) {
            text.append(line).append(' ').append(text.length()).append('\n');
        }
        return Http.bytes(text.substring(0, bytes));
    }

    void setTellsLoad(final boolean tellsLoad) {
        mTellsLoad = tellsLoad;
    }

    boolean isUp() {
        return mServer != null;
    }

    /** Starts a new incarnation with a new id. */
    synchronized void start(final double heartbeatSeconds) throws IOException {
        mStarts++;
        mId = "i-" + mMachine.name + "-" + mStarts;
        mBorn = System.currentTimeMillis();
        mSequence.set(0);
        mHeartbeatSeconds = heartbeatSeconds;
        final ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 400);
        mServer = server;
        mFleet.note("worker %s of %s starts", mId, mMachine.service);
        Thread.ofVirtual().start(() -> acceptAll(server));
        Thread.ofVirtual().start(() -> announce(server));
    }

    /** Ends as a crashed process does: all its sockets close, and it says nothing more. */
    synchronized void crash() {
        final ServerSocket server = mServer;
        if (server == null) {
            return;
        }
        mServer = null;
        mFleet.note("worker %s crashes", mId);
        closeQuietly(server);
        mConnections.forEach(
                socket -> {
                    try {
                        socket.setSoLinger(true, 0);
                        socket.close();
                    } catch (IOException e) {
                        // It is closed.
                    }
                });
        mConnections.clear();
        mRunning.set(0);
    }

    private void announce(final ServerSocket server) {
        while (mServer == server) {
            Client.call(
                    mMachine.control,
                    "POST /-/Instances.Heartbeat/" + mId + " HTTP/1.1",
                    List.of("Host: node", "Content-Type: application/json"),
                    Http.bytes(
                            "{\"address\":\"127.0.0.1:"
                                    + mPort
                                    + "\",\"born\":"
                                    + mBorn
                                    + ",\"info\":{\"service\":\""
                                    + mMachine.service
                                    + "\",\"version\":\"v1\",\"zone\":\""
                                    + mMachine.zone
                                    + "\",\"slots\":"
                                    + mSlots
                                    + "},\"status\":{\"state\":\"ready\",\"seqNo\":"
                                    + mSequence.incrementAndGet()
                                    + ",\"coldRemainingS\":0}}"),
                    1_000);
            try {
                Thread.sleep((long) (mHeartbeatSeconds * 1_000));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void acceptAll(final ServerSocket server) {
        while (mServer == server) {
            try {
                final Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                mConnections.add(socket);
                Thread.ofVirtual().start(() -> serve(server, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(final ServerSocket server, final Socket socket) {
        try (socket) {
            socket.setSoTimeout(20_000);
            while (mServer == server && serveOne(socket)) {
                // The connection is kept.
            }
        } catch (Exception e) {
            // The connection ends.
        } finally {
            mConnections.remove(socket);
        }
    }

    /** Returns whether the connection may carry another request. */
    private boolean serveOne(final Socket socket) throws Exception {
        final Http.Head head = Http.readHead(socket.getInputStream());
        if (head == null) {
            return false;
        }
        final OutputStream out = socket.getOutputStream();
        if (head.target().equals("/healthz")) {
            out.write(
                    Http.bytes(
                            "HTTP/1.1 200 OK\r\nX-Instance-Id: " + mId + loadField()
                                    + "\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        final double start = mFleet.seconds();
        final byte[] body = Http.readBody(socket.getInputStream(), head);
        final String id = head.header("x-request-id");
        final String named = head.header("x-target-instance");
        if (!named.isEmpty() && !named.equals(mId)) {
            out.write(refusal("421 Misdirected Request", id));
            return true;
        }
        if (mRunning.incrementAndGet() > mSlots) {
            mRunning.decrementAndGet();
            out.write(refusal("503 Service Unavailable", id));
            return true;
        }
        try {
            final Run run = new Run(mId, head, body.length, start, false);
            runs.add(run);
            mFleet.note(
                    "worker %s runs %s %s, host %s, id %s, body %d bytes, deadline %s ms",
                    mId,
                    head.method(),
                    head.target(),
                    head.header("host"),
                    id,
                    body.length,
                    head.header("x-request-deadline-ms"));
            final int status = mJob.run(run);
            if (status < 0) {
                socket.setSoLinger(true, 0);
                return false;
            }
            final byte[] answer = answer(mId, id, mAnswerBytes);
            out.write(
                    Http.bytes(
                            "HTTP/1.1 " + status + " Done\r\nX-Request-Id: " + id
                                    + "\r\nX-Response-Signature: " + mId + "." + id
                                    + loadField()
                                    + "\r\nContent-Length: " + answer.length + "\r\n\r\n"));
            for (int from = 0; from < answer.length; from += mPieceBytes) {
                out.write(answer, from, Math.min(mPieceBytes, answer.length - from));
                if (answer.length > mPieceBytes) {
                    Thread.sleep(PAUSE_MILLIS);
                }
            }
            return true;
        } finally {
            mRunning.decrementAndGet();
        }
    }

    private String loadField() {
        return mTellsLoad ? "\r\nX-Instance-Load: " + load() : "";
    }

    private String load() {
        return Math.max(0, mRunning.get()) + ",0," + mSlots + ",100";
    }

    private byte[] refusal(final String status, final String id) {
        return Http.bytes(
                "HTTP/1.1 " + status + "\r\nX-Not-Executed: 1\r\nX-Request-Id: " + id
                        + "\r\nX-Instance-Id: " + mId + "\r\nContent-Length: 0\r\n\r\n");
    }

    private static void closeQuietly(final ServerSocket server) {
        try {
            server.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
