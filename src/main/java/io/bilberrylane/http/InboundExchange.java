package io.bilberrylane.http;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Limits;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RouteMatch;
import io.bilberrylane.catalogue.ServiceEntry;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.peer.ResponseSink;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;

/**
 * One request of a caller and its response. All state is confined to the connection's event loop;
 * events from other threads are dispatched to it.
 */
final class InboundExchange implements ResponseSink {
    private static final long NOT_READY_RETRY_MILLIS = 300;
    private static final long UNUSABLE_RETRY_MILLIS = 1_000;
    private static final long LEAVING_RETRY_MILLIS = 100;

    private final ChannelHandlerContext mCtx;
    private final IngressHandler mHandler;
    private final IngressSettings mSettings;
    private final HttpRequest mRequest;
    private final InboundHead mHead;
    private final ExchangeRecord mRecord;
    private final ExchangeBody mBody;
    private final ExchangeResponse mResponse;
    private boolean mDone;

    InboundExchange(
            final ChannelHandlerContext ctx,
            final IngressHandler handler,
            final IngressSettings settings,
            final HttpRequest request) {
        mCtx = ctx;
        mHandler = handler;
        mSettings = settings;
        mRequest = request;
        mHead = new InboundHead(request, settings);
        mRecord = new ExchangeRecord(settings, mHead);
        mBody = new ExchangeBody(ctx, mHead.bodyBytes());
        mResponse =
                new ExchangeResponse(
                        ctx, handler, settings.names(), request, mHead.bodyBytes(), mRecord);
    }

    // -- start

    void start() {
        if (mSettings.localEndpoint().isPresent()
                && mRequest.uri().startsWith(mSettings.localPrefix())) {
            mBody.limit(LocalEndpoint.MAX_BODY_BYTES);
            mBody.setSink(
                    LocalExchange.open(
                            mSettings.localEndpoint().get(), mHead.toLocalCallHead(), this));
            startReading();
            return;
        }
        mRecord.beginCount();
        if (mSettings.isRefusing()) {
            refuse(ErrorCode.LEAVING, true, LEAVING_RETRY_MILLIS);
            return;
        }
        final Catalogue catalogue = mSettings.catalogue().get();
        final RouteMatch match = catalogue.match(mHead.host(), mHead.path());
        final CallerPermit permit = mHead.permit(catalogue, match);
        mRecord.setPermit(permit);
        switch (match) {
            case RouteMatch.Unusable unusable ->
                    refuse(ErrorCode.ROUTE_UNUSABLE, true, UNUSABLE_RETRY_MILLIS);
            case RouteMatch.Found found -> routeCall(permit, found.route());
            case RouteMatch.None none -> refuseUnrouted(permit);
        }
    }

    private void refuseUnrouted(final CallerPermit permit) {
        if (!permit.isAccepted()) {
            refuse(ErrorCode.UNKNOWN_KEY, true, 0);
        } else if (permit.catalogue().services().isEmpty()) {
            refuse(ErrorCode.NOT_READY, true, NOT_READY_RETRY_MILLIS);
        } else {
            refuse(ErrorCode.SERVICE_NOT_FOUND, true, 0);
        }
    }

    private void routeCall(final CallerPermit permit, final Route route) {
        if (!permit.isAccepted()) {
            refuse(ErrorCode.UNKNOWN_KEY, true, 0);
            return;
        }
        final Catalogue catalogue = permit.catalogue();
        final String service = route.selectService(mHandler.randomFraction());
        mRecord.setService(service);
        final Optional<ServiceEntry> entry = catalogue.service(service);
        final Limits limits = entry.map(ServiceEntry::limits).orElse(Limits.UNLIMITED);
        if (!mBody.limit(Math.min(limits.bodyBytes(), catalogue.callerLimits().bodyBytes()))) {
            refuse(ErrorCode.BODY_TOO_LARGE, true, 0);
            return;
        }
        final boolean idempotent = mHead.isIdempotent(route, entry);
        final CallHead call = mHead.toCallHead(service, idempotent, route, permit);
        if (mSettings.mayOutliveNode(call.timeoutMillis())) {
            refuse(ErrorCode.LEAVING, true, LEAVING_RETRY_MILLIS);
            return;
        }
        mBody.setSink(mSettings.router().route(permit, route, call, mCtx.executor(), this));
        startReading();
    }

    private void startReading() {
        if (!mDone) {
            mBody.start(mRecord.isAdmitted());
        }
    }

    // -- events from the caller

    void onContent(final ByteBuf bytes, final boolean last) {
        mBody.onRead();
        if (mDone) {
            bytes.release();
        } else if (!mBody.receive(bytes, last)) {
            mBody.cancel();
            fail(ErrorCode.BODY_TOO_LARGE, false);
        }
    }

    /**
     * Ends the exchange because its connection has ended.
     *
     * @param cause how the connection ended
     */
    void onConnectionEnded(final String cause) {
        if (!mDone) {
            mDone = true;
            mRecord.recordCut(cause);
            mRecord.endCount();
            mBody.cancel();
        }
    }

    void refuseMalformed(final ErrorCode code) {
        if (!mDone) {
            mBody.cancel();
        }
        mResponse.closeConnectionAfterwards();
        if (mRecord.isAdmitted()) {
            fail(code, false);
        } else {
            refuse(code, true, 0);
        }
    }

    /** Ends the exchange after an error of the node; the request may have been passed on. */
    void onUnexpectedError() {
        if (mDone) {
            return;
        }
        mBody.cancel();
        mResponse.closeConnectionAfterwards();
        fail(ErrorCode.INVARIANT_VIOLATED, false);
    }

    // -- events from the gate

    @Override
    public void onAdmitted(final TargetLoad load) {
        runOnEventLoop(
                () -> {
                    mRecord.setAdmitted();
                    if (mDone || !mBody.isExpected()) {
                        return;
                    }
                    mResponse.sendContinue();
                    if (mBody.hasSink()) {
                        mBody.read();
                    }
                });
    }

    @Override
    public void onRefused(final Refusal refusal, final TargetLoad load) {
        runOnEventLoop(() -> refuse(refusal.code(), true, refusal.retryAfterMillis()));
    }

    @Override
    public void onHead(final ResponseHead head) {
        runOnEventLoop(
                () -> {
                    if (!mDone) {
                        mResponse.sendHead(head, mBody.isDone());
                    }
                });
    }

    @Override
    public void onData(final ByteBuf bytes) {
        runOnEventLoop(
                () -> {
                    if (mDone) {
                        bytes.release();
                        return;
                    }
                    final int length = bytes.readableBytes();
                    mResponse
                            .sendData(bytes)
                            .addListener(
                                    written -> {
                                        if (written.isSuccess() && mBody.hasSink()) {
                                            mRecord.addWrittenBytes(length);
                                            mBody.creditResponse(length);
                                        }
                                    });
                });
    }

    @Override
    public void onEnd(final TargetLoad load) {
        runOnEventLoop(
                () -> {
                    if (mDone) {
                        return;
                    }
                    mRecord.recordResponse();
                    finish(mResponse.sendEnd());
                });
    }

    @Override
    public void onResponse(final ResponseHead head, final ByteBuf bytes, final TargetLoad load) {
        runOnEventLoop(
                () -> {
                    if (mDone) {
                        bytes.release();
                        return;
                    }
                    final ChannelFuture written = mResponse.sendWhole(head, bytes, mBody.isDone());
                    mRecord.recordResponse();
                    finish(written);
                });
    }

    @Override
    public void onFailed(final ErrorCode code, final CallPhase phase) {
        runOnEventLoop(() -> fail(code, phase.isNotRun()));
    }

    @Override
    public void onCredit(final int bytes) {
        runOnEventLoop(
                () -> {
                    mBody.grant(bytes);
                    if (!mDone) {
                        mBody.read();
                    }
                });
    }

    private void runOnEventLoop(final Runnable action) {
        if (mCtx.executor().inEventLoop()) {
            action.run();
        } else {
            mCtx.executor().execute(action);
        }
    }

    // -- end

    private void fail(final ErrorCode code, final boolean notRun) {
        if (mDone) {
            return;
        }
        if (mResponse.isHeadSent()) {
            mDone = true;
            mRecord.recordError(code, false);
            mRecord.recordCut("broken:" + code.wireName());
            mRecord.endCount();
            mResponse.abort();
            return;
        }
        refuse(code, notRun, 0);
    }

    private void refuse(final ErrorCode code, final boolean notRun, final long retryAfterMillis) {
        if (mDone) {
            return;
        }
        mRecord.recordError(code, notRun);
        finish(mResponse.sendRefusal(code, notRun, retryAfterMillis, mBody.isDone()));
    }

    private void finish(final ChannelFuture written) {
        mDone = true;
        mResponse.finish(written, mBody.isDone());
    }
}
