package io.bilberrylane.node;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.Headers;
import io.bilberrylane.http.TargetConnection;
import io.bilberrylane.http.TargetListener;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.AnswerHead;
import io.bilberrylane.peer.AnswerSink;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.CallOpener;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.Refusal;
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
 * One call at the gate, from its reservation to its end. All state belongs to one event loop; every
 * event from elsewhere is moved there.
 */
final class GateCall implements BodySink, TargetListener, KeyedCall {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** An idle connection unused for longer is not trusted with a call that must run once. */
    private static final long TRUSTED_IDLE_MILLIS = 500;

    private enum State {
        DECIDING,
        REPLAYING,
        WAITING,
        CONNECTING,
        ADMITTED,
        STARTED,
        OVER
    }

    private final Gate mGate;
    private final EventLoop mLoop;
    private final CallHead mHead;
    private final AnswerSink mSink;
    private final long mDeadlineNanos;
    private final Deque<ByteBuf> mEarlyBody = new ArrayDeque<>();
    private final Optional<KeyedRun> mKey;
    private State mState = State.DECIDING;
    private KeptAnswer mReplay;
    private GateTarget mTarget;
    private TargetConnection mConnection;
    private ScheduledFuture<?> mDeadline;
    private long mStartedNanos;
    private long mAnswerCreditBytes = CallOpener.INITIAL_CREDIT_BYTES;
    private boolean mReading = true;
    private boolean mBodyEnded;
    private boolean mCallerGone;
    private int mStatus;
    private TargetLoad mLoadAtStart = TargetLoad.ABSENT;
    private final long mOpenedNanos = System.nanoTime();
    private String mLoadHeader = "";

    GateCall(final Gate gate, final EventLoop loop, final CallHead head, final AnswerSink sink) {
        mGate = gate;
        mLoop = loop;
        mHead = head;
        mSink = sink;
        mBodyEnded = !head.hasBody();
        mKey = head.isKeyed() ? Optional.of(new KeyedRun(gate.keys(), head)) : Optional.empty();
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
            mState = State.OVER;
            mSink.onRefused(Refusal.of(ErrorCode.CANCELLED), mGate.load(mHead.route()));
            return;
        }
        if (mKey.isPresent()) {
            mKey.get().begin(mGate.keyWindowNanos(mHead.service()), this);
        } else {
            enter();
        }
    }

    private void enter() {
        mState = State.WAITING;
        final Optional<GateTarget> target = mGate.targetFor(mHead.service());
        if (target.isEmpty()) {
            refuseNow(ErrorCode.NO_TARGET);
            return;
        }
        mTarget = target.get();
        switch (mGate.offer(this, mTarget)) {
            case AdmissionDecision.Admitted admitted -> onLoop(this::connect);
            case AdmissionDecision.Queued queued -> {}
            case AdmissionDecision.Refused refused -> refuseNow(refused.code());
        }
    }

    /** The call left the queue and holds a slot. */
    void onSlot() {
        onLoop(this::connect);
    }

    /** The call left the queue without a slot. */
    void refuse(final ErrorCode code) {
        onLoop(() -> refuseNow(code));
    }

    private void refuseNow(final ErrorCode code) {
        refuseNow(code, "");
    }

    private void refuseNow(final ErrorCode code, final String holder) {
        if (mState == State.OVER) {
            return;
        }
        over();
        mGate.markRefused(mHead.callId());
        mKey.ifPresent(KeyedRun::release);
        if (!mCallerGone) {
            mSink.onRefused(new Refusal(code, 0, holder), mGate.load(mHead.route()));
        }
    }

    // -- idempotency key

    @Override
    public void onKeyHeld() {
        onLoop(
                () -> {
                    if (mState == State.OVER) {
                        mKey.ifPresent(KeyedRun::release);
                    } else {
                        enter();
                    }
                });
    }

    @Override
    public void onKeyAnswered(final KeptAnswer answer) {
        onLoop(
                () -> {
                    if (mState == State.OVER) {
                        return;
                    }
                    mGate.markRefused(mHead.callId());
                    mReplay = answer;
                    mState = State.REPLAYING;
                    if (mHead.hasBody()) {
                        mSink.onAdmitted(mGate.load(mHead.route()));
                        final List<ByteBuf> early = List.copyOf(mEarlyBody);
                        mEarlyBody.clear();
                        early.forEach(this::skip);
                    }
                    replay();
                });
    }

    @Override
    public void onKeyRefused(final ErrorCode code, final String holder) {
        onLoop(() -> refuseNow(code, holder));
    }

    @Override
    public void onKeyUnknown() {
        onLoop(
                () -> {
                    if (mState != State.OVER) {
                        mGate.markRefused(mHead.callId());
                        over();
                        mSink.onFailed(ErrorCode.KEY_OUTCOME_UNKNOWN, CallPhase.STARTED);
                    }
                });
    }

    private void skip(final ByteBuf bytes) {
        final int length = bytes.readableBytes();
        bytes.release();
        mSink.onCredit(length);
    }

    private void replay() {
        if (mState != State.REPLAYING || !mBodyEnded) {
            return;
        }
        over();
        if (!mKey.orElseThrow().hasDigest(mReplay.requestDigest())) {
            mSink.onFailed(ErrorCode.KEY_REUSED, CallPhase.NEVER);
            return;
        }
        final List<HeaderField> headers = new ArrayList<>(mReplay.head().headers());
        headers.add(new HeaderField(Headers.REPLAYED, "true"));
        mSink.onHead(AnswerHead.of(mReplay.head().status(), headers));
        mSink.onData(Unpooled.wrappedBuffer(mReplay.bodyBytes()));
        mSink.onEnd(mGate.load(mHead.route()));
    }

    // -- start

    private void connect() {
        if (mState != State.WAITING) {
            giveSlotBack(true, -1);
            return;
        }
        if (mCallerGone || System.nanoTime() - mDeadlineNanos >= 0) {
            giveSlotBack(true, -1);
            refuseNow(mCallerGone ? ErrorCode.CANCELLED : ErrorCode.DEADLINE_EXCEEDED);
            return;
        }
        mState = State.CONNECTING;
        final long trusted =
                mHead.idempotent()
                        ? Long.MAX_VALUE
                        : TimeUnit.MILLISECONDS.toNanos(TRUSTED_IDLE_MILLIS);
        mTarget.pool()
                .acquire(
                        mLoop,
                        trusted,
                        connection -> onLoop(() -> run(connection)),
                        cause -> onLoop(() -> unreachable(cause)));
    }

    private void unreachable(final Throwable cause) {
        LOGGER.atInfo().atMostEvery(1, TimeUnit.SECONDS).log("target unreachable: %s", cause);
        giveSlotBack(false, 0);
        refuseNow(ErrorCode.TARGET_UNREACHABLE);
        mGate.targetGone(mTarget);
    }

    /**
     * Takes a connection. A call with a body begins at its target only when its first byte is here,
     * so that the ingress can take the call back until it has sent that byte.
     */
    private void run(final TargetConnection connection) {
        if (mCallerGone || System.nanoTime() - mDeadlineNanos >= 0) {
            connection.giveBack();
            giveSlotBack(true, -1);
            refuseNow(mCallerGone ? ErrorCode.CANCELLED : ErrorCode.DEADLINE_EXCEEDED);
            return;
        }
        mConnection = connection;
        mState = State.ADMITTED;
        mDeadline =
                mLoop.schedule(
                        this::onDeadline, mDeadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        mSink.onAdmitted(mGate.load(mHead.route()));
        if (!mHead.hasBody() || mBodyEnded || !mEarlyBody.isEmpty()) {
            begin();
        }
    }

    private void begin() {
        if (mState != State.ADMITTED) {
            return;
        }
        if (!mConnection.isOpen()) {
            giveSlotBack(false, 0);
            refuseNow(ErrorCode.TARGET_UNREACHABLE);
            return;
        }
        final boolean mayStart =
                mGate.markStarted(mHead.callId()) && mKey.map(KeyedRun::start).orElse(true);
        if (!mayStart) {
            mConnection.giveBack();
            giveSlotBack(true, -1);
            refuseNow(ErrorCode.CANCELLED);
            return;
        }
        mState = State.STARTED;
        mStartedNanos = System.nanoTime();
        mLoadAtStart = mGate.load(mHead.route());
        mConnection.send(request(), !mHead.hasBody(), this);
        mEarlyBody.forEach(mConnection::sendBody);
        mEarlyBody.clear();
        if (mHead.hasBody() && mBodyEnded) {
            mConnection.endBody();
        }
    }

    private HttpRequest request() {
        final long remainingNanos = mDeadlineNanos - System.nanoTime();
        return TargetRequest.of(
                mHead,
                mGate.names(),
                mTarget.announcement().id(),
                TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    }

    // -- body

    @Override
    public void data(final ByteBuf bytes) {
        onLoop(
                () -> {
                    mKey.ifPresent(key -> key.addBody(bytes));
                    switch (mState) {
                        case STARTED -> mConnection.sendBody(bytes);
                        case DECIDING, WAITING, CONNECTING -> mEarlyBody.add(bytes);
                        case ADMITTED -> {
                            mEarlyBody.add(bytes);
                            begin();
                        }
                        case REPLAYING -> skip(bytes);
                        case OVER -> bytes.release();
                    }
                });
    }

    @Override
    public void end() {
        onLoop(
                () -> {
                    mBodyEnded = true;
                    if (mState == State.STARTED) {
                        mConnection.endBody();
                    }
                    begin();
                    replay();
                });
    }

    @Override
    public void credit(final int bytes) {
        onLoop(
                () -> {
                    mAnswerCreditBytes += bytes;
                    readAnswer();
                });
    }

    @Override
    public void cancel() {
        onLoop(this::onCallerGone);
    }

    private void onCallerGone() {
        mCallerGone = true;
        switch (mState) {
            case WAITING -> {
                giveSlotBack(true, -1);
                refuseNow(ErrorCode.CANCELLED);
            }
            case STARTED -> {
                if (mHead.idempotent() || !mBodyEnded) {
                    stop(true);
                } else {
                    mAnswerCreditBytes = Long.MAX_VALUE / 2;
                    readAnswer();
                }
            }
            case ADMITTED -> {
                mConnection.giveBack();
                giveSlotBack(true, -1);
                refuseNow(ErrorCode.CANCELLED);
            }
            case DECIDING -> refuseNow(ErrorCode.CANCELLED);
            case REPLAYING -> over();
            case CONNECTING, OVER -> {}
        }
    }

    // -- answer

    /** Runs on the connection's loop, which is also this call's. */
    @Override
    public boolean onResponse(final HttpResponse response) {
        final HeaderNames names = mGate.names();
        final int status = response.status().code();
        if (!names.isAnswerTo(requestId(), status, response.headers())) {
            LOGGER.atWarning().log(
                    "answer to call %s dropped: it came on the connection of call %s",
                    response.headers().get(names.requestId()), requestId());
            return false;
        }
        onLoop(
                () -> {
                    if (mState == State.STARTED) {
                        onAnswerHead(response);
                    }
                });
        return true;
    }

    private void onAnswerHead(final HttpResponse response) {
        final HeaderNames names = mGate.names();
        mStatus = response.status().code();
        mLoadHeader = response.headers().get(names.load(), "");
        mGate.noteLoad(mTarget, response.headers());
        if (!names.isSound(mStatus, response.headers())) {
            LOGGER.atWarning().log(
                    "answer to call %s refused: a success without a signature", requestId());
            stop(false);
            mSink.onFailed(ErrorCode.ANSWER_SPOILED, CallPhase.STARTED);
            return;
        }
        final AnswerHead head =
                new AnswerHead(
                        mStatus,
                        Headers.endToEnd(response.headers(), names.hiddenFromCallers()),
                        names.saysNotRun(mStatus, response.headers()));
        mKey.ifPresent(key -> key.onAnswerHead(head));
        if (!mCallerGone) {
            mSink.onHead(head);
        }
    }

    private String requestId() {
        return mHead.requestId().isEmpty() ? mHead.callId() : mHead.requestId();
    }

    @Override
    public void onContent(final ByteBuf bytes) {
        onLoop(
                () -> {
                    mKey.ifPresent(key -> key.onAnswerData(bytes));
                    if (mState != State.STARTED || mCallerGone) {
                        bytes.release();
                        mReading = false;
                        readAnswer();
                        return;
                    }
                    mAnswerCreditBytes -= bytes.readableBytes();
                    mReading = false;
                    mSink.onData(bytes);
                    readAnswer();
                });
    }

    private void readAnswer() {
        if (mState == State.STARTED && !mReading && mAnswerCreditBytes > 0) {
            mReading = true;
            mConnection.read();
        }
    }

    @Override
    public void onComplete() {
        onLoop(
                () -> {
                    if (mState != State.STARTED) {
                        return;
                    }
                    over();
                    logRun("answered");
                    mGate.markFinished(mHead.callId());
                    mKey.ifPresent(KeyedRun::finish);
                    giveSlotBack(mStatus < 500, System.nanoTime() - mStartedNanos);
                    if (!mCallerGone) {
                        mSink.onEnd(mGate.load(mHead.route()));
                    }
                });
    }

    @Override
    public void onBroken(final Throwable cause) {
        onLoop(
                () -> {
                    if (mState != State.STARTED) {
                        return;
                    }
                    over();
                    logRun("broken:" + cause);
                    if (mStatus == 0) {
                        mGate.connectionBroken(mHead, mTarget);
                    }
                    mKey.ifPresent(KeyedRun::breakOff);
                    giveSlotBack(false, System.nanoTime() - mStartedNanos);
                    if (!mCallerGone) {
                        mSink.onFailed(ErrorCode.TARGET_FAILED, CallPhase.STARTED);
                    }
                });
    }

    @Override
    public void onWritten(final int bytes) {
        if (!mCallerGone) {
            mSink.onCredit(bytes);
        }
    }

    private void onDeadline() {
        if (mState == State.ADMITTED) {
            mConnection.giveBack();
            giveSlotBack(true, -1);
            refuseNow(ErrorCode.DEADLINE_EXCEEDED);
        } else if (mState == State.STARTED) {
            stop(false);
            if (!mCallerGone) {
                mSink.onFailed(ErrorCode.TARGET_TIMEOUT, CallPhase.STARTED);
            }
        }
    }

    // -- end

    private void logRun(final String outcome) {
        DecisionLog.event("run-ended")
                .with("request", requestId())
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

    private void stop(final boolean healthy) {
        over();
        logRun(mCallerGone ? "caller-left" : "given-up");
        mKey.ifPresent(KeyedRun::breakOff);
        mConnection.abort();
        giveSlotBack(healthy, healthy ? -1 : System.nanoTime() - mStartedNanos);
    }

    private void over() {
        mState = State.OVER;
        if (mDeadline != null) {
            mDeadline.cancel(false);
        }
        mEarlyBody.forEach(ByteBuf::release);
        mEarlyBody.clear();
    }

    private void giveSlotBack(final boolean healthy, final long serviceNanos) {
        mGate.release(this, mTarget, healthy, serviceNanos);
    }

    private void onLoop(final Runnable action) {
        if (mLoop.inEventLoop()) {
            action.run();
        } else {
            mLoop.execute(action);
        }
    }
}
