package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.http.ConnectionLimitException;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.Headers;
import io.bilberrylane.http.LoadHeader;
import io.bilberrylane.http.RejectedResponseException;
import io.bilberrylane.http.TargetConnection;
import io.bilberrylane.http.TargetResponseListener;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.peer.SentParts;
import io.bilberrylane.policy.AdmissionDecision;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One call at the gate, from its reservation to its end. All state is confined to one event loop;
 * events from other threads are executed on it.
 */
final class GateCall implements BodySink, TargetResponseListener, KeyedCall {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A connection that was idle for longer is not used for a call that must not run twice. */
    private static final long NON_IDEMPOTENT_MAX_IDLE_MILLIS = 500;

    private static final int SERVER_ERROR = 500;

    /** A response whose caller has left is read up to this length after that. */
    private static final long MAX_DISCARDED_BYTES = 4 * 1024 * 1024;

    private enum State {
        AWAITING_KEY,
        REPLAYING,
        AWAITING_SLOT,
        CONNECTING,
        ADMITTED,
        STARTED,
        CLOSED
    }

    private final Gate mGate;
    private final EventLoop mLoop;
    private final CallHead mHead;
    private final ResponseSink mSink;
    private final long mDeadlineNanos;
    private final Deque<ByteBuf> mBufferedBody = new ArrayDeque<>();
    private final Optional<KeyedRun> mKeyedRun;
    private State mState = State.AWAITING_KEY;
    private StoredResponse mReplayedResponse;
    private GateTarget mTarget;
    private TargetConnection mConnection;
    private ScheduledFuture<?> mDeadlineTimer;
    private long mStartedNanos;
    private long mResponseCreditBytes = CallOpener.INITIAL_CREDIT_BYTES;
    private final SentParts mSentParts = new SentParts();
    private boolean mReadPending = true;
    private boolean mBodyEnded;
    private boolean mCancelled;
    private boolean mRunCounted;
    private int mStatus;
    private long mDiscardedBytes;
    private boolean mNotRun;
    private int mSpeedPercent = TargetLoad.NORMAL_SPEED_PERCENT;
    private int mExchange;
    private int mSkippedResponses;
    private TargetLoad mLoadAtStart = TargetLoad.ABSENT;
    private final long mOpenedNanos = System.nanoTime();
    private String mLoadHeader = "";

    GateCall(final Gate gate, final EventLoop loop, final CallHead head, final ResponseSink sink) {
        mGate = gate;
        mLoop = loop;
        mHead = head;
        mSink = sink;
        mBodyEnded = !head.hasBody();
        mKeyedRun =
                head.isKeyed()
                        ? Optional.of(new KeyedRun(gate.keyCoordinator(), head))
                        : Optional.empty();
        mDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis());
    }

    CallHead head() {
        return mHead;
    }

    EventLoop eventLoop() {
        return mLoop;
    }

    // -- admission

    void start() {
        if (!mGate.reserve(mHead.callId())) {
            mState = State.CLOSED;
            mSink.onRefused(Refusal.of(ErrorCode.CANCELLED), mGate.load(mHead.route()));
            return;
        }
        if (mKeyedRun.isPresent()) {
            mKeyedRun.get().begin(mGate.keyWindowNanos(mHead.service()), this);
        } else {
            requestAdmission();
        }
    }

    private void requestAdmission() {
        mState = State.AWAITING_SLOT;
        final Optional<GateTarget> target = mGate.targetFor(mHead.service());
        if (target.isEmpty()) {
            refuseNow(ErrorCode.NO_TARGET);
            return;
        }
        mTarget = target.get();
        switch (mGate.offer(this, mTarget)) {
            case AdmissionDecision.Admitted admitted -> runOnEventLoop(this::connect);
            case AdmissionDecision.Queued queued -> {}
            case AdmissionDecision.Refused refused -> refuseNow(refused.code());
        }
    }

    /** Called when the call has left the queue and holds a slot. */
    void onSlotGranted() {
        runOnEventLoop(this::connect);
    }

    /** Refuses a call that left the queue without a slot. */
    void refuse(final ErrorCode code) {
        runOnEventLoop(() -> refuseNow(code));
    }

    private void refuseNow(final ErrorCode code) {
        refuseNow(code, "");
    }

    private void refuseNow(final ErrorCode code, final String holder) {
        if (mState == State.CLOSED) {
            return;
        }
        close();
        mGate.markRefused(mHead.callId());
        mKeyedRun.ifPresent(KeyedRun::release);
        if (!mCancelled) {
            mSink.onRefused(new Refusal(code, 0, holder), mGate.load(mHead.route()));
        }
    }

    // -- idempotency key

    @Override
    public void onKeyAcquired() {
        runOnEventLoop(
                () -> {
                    if (mState == State.CLOSED) {
                        mKeyedRun.ifPresent(KeyedRun::release);
                    } else {
                        requestAdmission();
                    }
                });
    }

    @Override
    public void onKeyReplayed(final StoredResponse response) {
        runOnEventLoop(
                () -> {
                    if (mState == State.CLOSED) {
                        return;
                    }
                    mGate.markRefused(mHead.callId());
                    mReplayedResponse = response;
                    mState = State.REPLAYING;
                    if (mHead.hasBody()) {
                        mSink.onAdmitted(mGate.load(mHead.route()));
                        final List<ByteBuf> buffered = List.copyOf(mBufferedBody);
                        mBufferedBody.clear();
                        buffered.forEach(this::discard);
                    }
                    replay();
                });
    }

    @Override
    public void onKeyRefused(final ErrorCode code, final String holder) {
        runOnEventLoop(() -> refuseNow(code, holder));
    }

    @Override
    public void onKeyOutcomeUnknown() {
        runOnEventLoop(
                () -> {
                    if (mState != State.CLOSED) {
                        mGate.markRefused(mHead.callId());
                        close();
                        mSink.onFailed(ErrorCode.KEY_OUTCOME_UNKNOWN, CallPhase.STARTED);
                    }
                });
    }

    private void discard(final ByteBuf bytes) {
        final int length = bytes.readableBytes();
        bytes.release();
        mSink.onCredit(length);
    }

    private void replay() {
        if (mState != State.REPLAYING || !mBodyEnded) {
            return;
        }
        close();
        if (!mKeyedRun.orElseThrow().hasDigest(mReplayedResponse.requestDigest())) {
            mSink.onFailed(ErrorCode.KEY_REUSED, CallPhase.NEVER);
            return;
        }
        final List<HeaderField> headers = new ArrayList<>(mReplayedResponse.head().headers());
        headers.add(new HeaderField(Headers.REPLAYED, "true"));
        mSink.onHead(ResponseHead.of(mReplayedResponse.head().status(), headers));
        mSink.onData(Unpooled.wrappedBuffer(mReplayedResponse.bodyBytes()));
        mSink.onEnd(mGate.load(mHead.route()));
    }

    // -- start

    private void connect() {
        if (mState != State.AWAITING_SLOT) {
            releaseSlot(true, -1);
            return;
        }
        if (mCancelled || System.nanoTime() - mDeadlineNanos >= 0) {
            releaseSlot(true, -1);
            refuseNow(mCancelled ? ErrorCode.CANCELLED : ErrorCode.DEADLINE_EXCEEDED);
            return;
        }
        acquireConnection();
    }

    private void acquireConnection() {
        mState = State.CONNECTING;
        mTarget.pool()
                .acquire(
                        mLoop,
                        maxIdleNanos(),
                        sentId(),
                        connection -> runOnEventLoop(() -> onConnected(connection)),
                        cause -> runOnEventLoop(() -> onConnectFailed(cause)));
    }

    private long maxIdleNanos() {
        // A late response to another method would be read as one without a body.
        final boolean isHead = mHead.method().equals("HEAD");
        if (isHead || mGate.headerNames().needsNewConnection(sentId())) {
            return 0;
        }
        return mHead.idempotent()
                ? Long.MAX_VALUE
                : TimeUnit.MILLISECONDS.toNanos(NON_IDEMPOTENT_MAX_IDLE_MILLIS);
    }

    private void onConnectFailed(final Throwable cause) {
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log("target unreachable: %s", cause);
        final boolean isAtLimit = cause instanceof ConnectionLimitException;
        releaseSlot(isAtLimit, isAtLimit ? -1 : 0);
        refuseNow(ErrorCode.TARGET_UNREACHABLE);
        mGate.onConnectFailed(mTarget, cause);
    }

    /**
     * Admits the call on a connection. A call with a body starts at its target only when the first
     * byte of the body has arrived, so that the ingress can withdraw the call until it has sent
     * that byte. If the connection was closed while it waited, another one takes its place.
     */
    private void onConnected(final TargetConnection connection) {
        if (mCancelled || System.nanoTime() - mDeadlineNanos >= 0) {
            connection.release();
            releaseSlot(true, -1);
            refuseNow(mCancelled ? ErrorCode.CANCELLED : ErrorCode.DEADLINE_EXCEEDED);
            return;
        }
        mConnection = connection;
        mState = State.ADMITTED;
        if (mDeadlineTimer == null) {
            mDeadlineTimer =
                    mLoop.schedule(
                            this::onDeadline,
                            mDeadlineNanos - System.nanoTime(),
                            TimeUnit.NANOSECONDS);
            mSink.onAdmitted(mGate.load(mHead.route()));
        }
        if (!mHead.hasBody() || mBodyEnded || !mBufferedBody.isEmpty()) {
            startRun();
        }
    }

    private void startRun() {
        if (mState != State.ADMITTED) {
            return;
        }
        if (!mConnection.isOpen()) {
            acquireConnection();
            return;
        }
        if (!mGate.mayStart(mTarget)) {
            mConnection.release();
            releaseSlot(true, -1);
            refuseNow(ErrorCode.LEAVING);
            return;
        }
        final boolean mayStart =
                mGate.markStarted(mHead.callId()) && mKeyedRun.map(KeyedRun::start).orElse(true);
        if (!mayStart) {
            mConnection.release();
            releaseSlot(true, -1);
            refuseNow(ErrorCode.CANCELLED);
            return;
        }
        mState = State.STARTED;
        mRunCounted = true;
        mGate.recordRunStart(mHead);
        mStartedNanos = System.nanoTime();
        mLoadAtStart = mGate.load(mHead.route());
        mConnection.send(request(), sentId(), !mHead.hasBody(), this);
        mExchange = mConnection.exchangeCount();
        mBufferedBody.forEach(mConnection::sendBody);
        mBufferedBody.clear();
        if (mHead.hasBody() && mBodyEnded) {
            mConnection.endBody();
        }
    }

    private HttpRequest request() {
        final long remainingNanos = mDeadlineNanos - System.nanoTime();
        return TargetRequest.of(
                mHead,
                mGate.headerNames(),
                mTarget.announcement().id(),
                TimeUnit.NANOSECONDS.toMillis(remainingNanos),
                mGate.requiresKeys());
    }

    // -- request body

    @Override
    public void data(final ByteBuf bytes) {
        runOnEventLoop(
                () -> {
                    mKeyedRun.ifPresent(keyedRun -> keyedRun.addBody(bytes));
                    switch (mState) {
                        case STARTED -> mConnection.sendBody(bytes);
                        case AWAITING_KEY, AWAITING_SLOT, CONNECTING -> mBufferedBody.add(bytes);
                        case ADMITTED -> {
                            mBufferedBody.add(bytes);
                            startRun();
                        }
                        case REPLAYING -> discard(bytes);
                        case CLOSED -> bytes.release();
                    }
                });
    }

    @Override
    public void end() {
        runOnEventLoop(
                () -> {
                    mBodyEnded = true;
                    if (mState == State.STARTED) {
                        mConnection.endBody();
                    }
                    startRun();
                    replay();
                });
    }

    @Override
    public void credit(final int bytes) {
        runOnEventLoop(
                () -> {
                    mResponseCreditBytes += bytes;
                    mSentParts.credit(bytes);
                    readResponse();
                });
    }

    @Override
    public void cancel() {
        runOnEventLoop(this::onCancelled);
    }

    private void onCancelled() {
        mCancelled = true;
        switch (mState) {
            case AWAITING_SLOT -> {
                releaseSlot(true, -1);
                refuseNow(ErrorCode.CANCELLED);
            }
            case STARTED -> {
                if (mHead.idempotent() || !mBodyEnded) {
                    abortRun(true);
                } else {
                    readResponse();
                }
            }
            case ADMITTED -> {
                mConnection.release();
                releaseSlot(true, -1);
                refuseNow(ErrorCode.CANCELLED);
            }
            case AWAITING_KEY -> refuseNow(ErrorCode.CANCELLED);
            case REPLAYING -> close();
            case CONNECTING, CLOSED -> {}
        }
    }

    // -- response

    /** Runs on the connection's event loop, which is also the event loop of this call. */
    @Override
    public boolean onResponse(final HttpResponse response) {
        final HeaderNames names = mGate.headerNames();
        final int status = response.status().code();
        final boolean isReused = mConnection.isReused();
        if (!names.isResponseTo(sentId(), status, response.headers(), isReused)) {
            LOGGER.atWarning().log(
                    "response %d to call %s dropped: received on the connection of call %s, which"
                            + " is %s; connection %s, exchange %d",
                    status,
                    DecisionLog.shortened(response.headers().get(names.requestId())),
                    DecisionLog.shortened(requestId()),
                    isReused ? "in use again" : "new",
                    mConnection.name(),
                    mConnection.exchangeCount());
            return false;
        }
        runOnEventLoop(
                () -> {
                    if (mState == State.STARTED) {
                        onResponseHead(response);
                    }
                });
        return true;
    }

    private void onResponseHead(final HttpResponse response) {
        final HeaderNames names = mGate.headerNames();
        mStatus = response.status().code();
        mSkippedResponses = mConnection.skippedResponses();
        mLoadHeader = response.headers().get(names.load(), "");
        mNotRun = names.isNotRun(mStatus, response.headers());
        final Optional<LoadHeader> load =
                mLoadHeader.isEmpty() ? Optional.empty() : LoadHeader.parse(mLoadHeader);
        mSpeedPercent =
                load.map(LoadHeader::speedPercent)
                        .filter(percent -> percent > 0)
                        .orElse(TargetLoad.NORMAL_SPEED_PERCENT);
        mGate.recordLoad(mTarget, load);
        if (!names.hasRequiredSignature(mStatus, response.headers())) {
            LOGGER.atWarning().log(
                    "response to call %s rejected: success status without a signature",
                    requestId());
            abortRun(false);
            mSink.onFailed(ErrorCode.ANSWER_SPOILED, CallPhase.STARTED);
            return;
        }
        final ResponseHead head =
                new ResponseHead(
                        mStatus,
                        Headers.endToEnd(
                                response.headers(),
                                names.internalResponseFields(),
                                names::isEndToEnd),
                        mNotRun,
                        mStatus >= SERVER_ERROR && mGate.isRepeatBudgetSpent());
        mKeyedRun.ifPresent(keyedRun -> keyedRun.onResponseHead(head));
        if (!mCancelled) {
            mSink.onHead(head);
        }
    }

    /** Returns the identity that the target gets and repeats; empty if there is none. */
    private String sentId() {
        return mGate.headerNames().isRequestIdSetByCaller() ? mHead.requestId() : mHead.callId();
    }

    private String requestId() {
        return mHead.requestId().isEmpty() ? mHead.callId() : mHead.requestId();
    }

    @Override
    public void onContent(final ByteBuf bytes) {
        runOnEventLoop(
                () -> {
                    mKeyedRun.ifPresent(keyedRun -> keyedRun.onResponseData(bytes));
                    if (mState != State.STARTED || mCancelled) {
                        discardResponse(bytes);
                        return;
                    }
                    mResponseCreditBytes -= bytes.readableBytes();
                    mSentParts.send(bytes.readableBytes());
                    mReadPending = false;
                    mSink.onData(bytes);
                    readResponse();
                });
    }

    /**
     * Drops a part of a response that nobody waits for any more. A run that must not be cut may go
     * on, but a response without end is not read to its deadline.
     */
    private void discardResponse(final ByteBuf bytes) {
        mDiscardedBytes += bytes.readableBytes();
        bytes.release();
        mReadPending = false;
        if (mState == State.STARTED && mDiscardedBytes > MAX_DISCARDED_BYTES) {
            abortRun(true);
        } else {
            readResponse();
        }
    }

    private void readResponse() {
        final boolean maySend = mCancelled || mResponseCreditBytes > 0 && !mSentParts.isFull();
        if (mState == State.STARTED && !mReadPending && maySend) {
            mReadPending = true;
            mConnection.read();
        }
    }

    @Override
    public void onComplete() {
        runOnEventLoop(
                () -> {
                    if (mState != State.STARTED) {
                        return;
                    }
                    close();
                    recordVersionEnd(mStatus >= 500);
                    logRun("answered");
                    mGate.markFinished(mHead.callId());
                    mKeyedRun.ifPresent(KeyedRun::finish);
                    releaseSlot(mStatus < 500, System.nanoTime() - mStartedNanos);
                    if (!mCancelled) {
                        mSink.onEnd(mGate.load(mHead.route()));
                    }
                });
    }

    @Override
    public void onFailure(final Throwable cause) {
        runOnEventLoop(
                () -> {
                    if (mState != State.STARTED) {
                        return;
                    }
                    close();
                    logRun("broken:" + cause);
                    mGate.markFinished(mHead.callId());
                    if (mStatus == 0 && !(cause instanceof RejectedResponseException)) {
                        mGate.onConnectionBroken(mHead, mTarget);
                    }
                    mKeyedRun.ifPresent(KeyedRun::markOutcomeUnknown);
                    releaseSlot(false, System.nanoTime() - mStartedNanos);
                    if (!mCancelled) {
                        mSink.onFailed(ErrorCode.TARGET_FAILED, CallPhase.STARTED);
                    }
                });
    }

    @Override
    public void onBodyWritten(final int bytes) {
        if (!mCancelled) {
            mSink.onCredit(bytes);
        }
    }

    private void onDeadline() {
        if (mState == State.ADMITTED) {
            mConnection.release();
            releaseSlot(true, -1);
            refuseNow(ErrorCode.DEADLINE_EXCEEDED);
        } else if (mState == State.STARTED) {
            recordVersionEnd(true);
            abortRun(false);
            if (!mCancelled) {
                mSink.onFailed(ErrorCode.TARGET_TIMEOUT, CallPhase.STARTED);
            }
        }
    }

    // -- end

    /** Counts the run for the version of the target; a run that the target refused is none. */
    private void recordVersionEnd(final boolean hasFailed) {
        if (!mNotRun) {
            mGate.recordVersionEnd(
                    mHead,
                    mTarget,
                    hasFailed,
                    System.nanoTime() - mStartedNanos,
                    Math.max(mLoadAtStart.speedPercent(), mSpeedPercent));
        }
    }

    private void logRun(final String outcome) {
        DecisionLog.event("run-ended")
                .with("request", requestId())
                .with("call", mHead.callId())
                .with("connection", mConnection.name())
                .with("exchange", mExchange)
                .with("skippedResponses", mSkippedResponses)
                .with("priority", mHead.priority())
                .with("inFlight", mLoadAtStart.inFlight())
                .with("allowance", mLoadAtStart.allowance())
                .with("queued", mLoadAtStart.queued())
                .with("speedPercent", mLoadAtStart.speedPercent())
                .with("waitedMicros", (mStartedNanos - mOpenedNanos) / 1_000)
                .with("serviceMicros", (System.nanoTime() - mStartedNanos) / 1_000)
                .with("loadAtEnd", mLoadHeader)
                .with("status", mStatus)
                .with("outcome", outcome)
                .write();
    }

    private void abortRun(final boolean healthy) {
        close();
        logRun(mCancelled ? "caller-left" : "given-up");
        mGate.markFinished(mHead.callId());
        mKeyedRun.ifPresent(KeyedRun::markOutcomeUnknown);
        final long serviceNanos = healthy ? -1 : System.nanoTime() - mStartedNanos;
        mConnection.abort(() -> releaseSlot(healthy, serviceNanos));
    }

    private void close() {
        mState = State.CLOSED;
        if (mDeadlineTimer != null) {
            mDeadlineTimer.cancel(false);
        }
        mBufferedBody.forEach(ByteBuf::release);
        mBufferedBody.clear();
    }

    private void releaseSlot(final boolean healthy, final long serviceNanos) {
        if (mRunCounted) {
            mRunCounted = false;
            mGate.recordRunEnd(mHead);
        }
        mGate.release(this, mTarget, healthy, serviceNanos);
    }

    private void runOnEventLoop(final Runnable action) {
        if (mLoop.inEventLoop()) {
            action.run();
        } else {
            mLoop.execute(action);
        }
    }
}
