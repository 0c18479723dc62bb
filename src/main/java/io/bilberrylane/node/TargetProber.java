package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.http.ConnectionLimitException;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.TargetConnection;
import io.bilberrylane.http.TargetConnectionPool;
import io.bilberrylane.http.TargetResponseListener;
import io.bilberrylane.net.Transport;
import io.bilberrylane.policy.GateAdmission;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Probes a target for its speed and its remaining cold time, with at most one probe in flight. All
 * state is confined to one event loop.
 */
final class TargetProber {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long TIMEOUT_MILLIS = 150;

    /** What a probe asks for is in the head of its answer. */
    private static final int MAX_BODY_BYTES = 16 * 1024;

    /** Keeps the rate of probes below half of the rate that a target may receive. */
    private static final long MIN_INTERVAL_NANOS = 20_000_000L;

    private static final long MAX_IDLE_NANOS = 2_000_000_000L;

    private final Gate mGate;
    private final EventLoop mLoop;
    private final String mTargetId;
    private final GateAdmission mAdmission;
    private final TargetConnectionPool mPool;
    private boolean mProbing;
    private long mLastProbeNanos;
    private long mProbeCount;

    TargetProber(
            final Gate gate,
            final Transport transport,
            final String targetId,
            final GateAdmission admission,
            final TargetConnectionPool pool) {
        mGate = gate;
        mLoop = transport.currentOrAnyLoop();
        mTargetId = targetId;
        mAdmission = admission;
        mPool = pool;
    }

    /**
     * Sends a probe, unless one is in flight, and runs the action when it ends, with or without a
     * response.
     */
    void probe(final String path, final Runnable onDone) {
        mLoop.execute(() -> probeNow(path, onDone));
    }

    private void probeNow(final String path, final Runnable onDone) {
        if (mProbing) {
            return;
        }
        mProbing = true;
        final long delayNanos = mLastProbeNanos + MIN_INTERVAL_NANOS - System.nanoTime();
        if (mProbeCount > 0 && delayNanos > 0) {
            mLoop.schedule(() -> send(path, onDone), delayNanos, TimeUnit.NANOSECONDS);
        } else {
            send(path, onDone);
        }
    }

    private void send(final String path, final Runnable onDone) {
        mLastProbeNanos = System.nanoTime();
        mProbeCount++;
        final Probe probe = new Probe(onDone);
        mPool.acquire(
                mLoop,
                MAX_IDLE_NANOS,
                connection -> probe.start(connection, path),
                cause -> probe.end(!(cause instanceof ConnectionLimitException)));
    }

    /** One probe and the receiver of its response. */
    private final class Probe implements TargetResponseListener {
        private final Runnable mOnDone;
        private TargetConnection mConnection;
        private ScheduledFuture<?> mTimeout;
        private boolean mEnded;
        private int mBodyBytes;

        private Probe(final Runnable onDone) {
            mOnDone = onDone;
        }

        private void start(final TargetConnection connection, final String path) {
            mConnection = connection;
            mTimeout = mLoop.schedule(this::onTimeout, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            final HttpRequest request =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
            request.headers().set(HttpHeaderNames.HOST, "health");
            connection.send(request, true, this);
        }

        private void onTimeout() {
            LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
                    "speed probe of target %s timed out after %d ms", mTargetId, TIMEOUT_MILLIS);
            mConnection.abort();
            end(true);
        }

        private void end(final boolean isFailure) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mProbing = false;
            if (mTimeout != null) {
                mTimeout.cancel(false);
            }
            if (isFailure) {
                mGate.admissionLock().run(() -> mAdmission.recordProbeFailure(System.nanoTime()));
            }
            mOnDone.run();
        }

        @Override
        public boolean onResponse(final HttpResponse response) {
            final HeaderNames names = mGate.headerNames();
            if (response.headers().contains(names.requestId())) {
                LOGGER.atWarning().log(
                        "response to call %s dropped: received on the connection of a probe",
                        DecisionLog.shortened(response.headers().get(names.requestId())));
                return false;
            }
            final String id = response.headers().get(names.responseTargetId());
            if (id != null && !mTargetId.isEmpty() && !id.equals(mTargetId)) {
                LOGGER.atInfo().log(
                        "target %s was replaced by %s", mTargetId, DecisionLog.shortened(id));
                return true;
            }
            mGate.recordProbeResponse(mAdmission, response.status().code(), response.headers());
            return true;
        }

        @Override
        public void onContent(final ByteBuf bytes) {
            mBodyBytes += bytes.readableBytes();
            bytes.release();
            if (mBodyBytes <= MAX_BODY_BYTES) {
                mConnection.read();
                return;
            }
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "probe of target %s ended: its answer has more than %d bytes",
                    mTargetId, MAX_BODY_BYTES);
            mConnection.abort();
            end(true);
        }

        @Override
        public void onComplete() {
            end(false);
        }

        @Override
        public void onFailure(final Throwable cause) {
            end(true);
        }

        @Override
        public void onBodyWritten(final int bytes) {
            // A probe has no body.
        }
    }
}
