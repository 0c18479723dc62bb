package io.bilberrylane.http;

import com.google.common.flogger.FluentLogger;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.BodySink;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Collects the body of a request to the node itself and sends the response. */
final class LocalExchange implements BodySink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final LocalEndpoint mEndpoint;
    private final CallHead mHead;
    private final ResponseSink mSink;
    private final StringBuilder mBody = new StringBuilder();
    private boolean mCancelled;

    private LocalExchange(
            final LocalEndpoint endpoint, final CallHead head, final ResponseSink sink) {
        mEndpoint = endpoint;
        mHead = head;
        mSink = sink;
    }

    static BodySink open(
            final LocalEndpoint endpoint, final CallHead head, final ResponseSink sink) {
        final LocalExchange exchange = new LocalExchange(endpoint, head, sink);
        sink.onAdmitted(TargetLoad.ABSENT);
        if (!head.hasBody()) {
            exchange.end();
        }
        return exchange;
    }

    @Override
    public void data(final ByteBuf bytes) {
        mBody.append(bytes.toString(StandardCharsets.UTF_8));
        mSink.onCredit(bytes.readableBytes());
        bytes.release();
        if (mBody.length() > LocalEndpoint.MAX_BODY_BYTES && !mCancelled) {
            mCancelled = true;
            mSink.onFailed(ErrorCode.BODY_TOO_LARGE, CallPhase.REFUSED);
        }
    }

    @Override
    public void end() {
        if (mCancelled) {
            return;
        }
        final String path = mHead.uri().split("\\?", 2)[0];
        mEndpoint
                .respond(mHead.method(), path, mBody.toString())
                .whenComplete(
                        (response, failure) -> {
                            if (failure == null) {
                                send(response);
                            } else {
                                fail(failure);
                            }
                        });
    }

    private void fail(final Throwable failure) {
        LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(failure).log(
                "request to the node itself failed: %s %s", mHead.method(), mHead.uri());
        mSink.onFailed(ErrorCode.INVARIANT_VIOLATED, CallPhase.STARTED);
    }

    private void send(final LocalResponse response) {
        final byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
        mSink.onHead(
                ResponseHead.of(
                        response.status(),
                        List.of(
                                new HeaderField("Content-Type", response.contentType()),
                                new HeaderField("Content-Length", String.valueOf(body.length)))));
        mSink.onData(Unpooled.wrappedBuffer(body));
        mSink.onEnd(TargetLoad.ABSENT);
    }

    @Override
    public void cancel() {
        mCancelled = true;
    }

    @Override
    public void credit(final int bytes) {
        // The whole response was sent at once.
    }
}
