package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;

/** Receives the events of one call from its gate, in order. Implementations must not block. */
public interface ResponseSink {
    /**
     * The call was admitted and holds a slot; its body may be sent within the credit.
     *
     * @param load the gate's load after the admission
     */
    void onAdmitted(TargetLoad load);

    /**
     * The call was not run and never will be. Last event.
     *
     * @param refusal the reason, and when or where a retry may succeed
     * @param load the gate's load
     */
    void onRefused(Refusal refusal, TargetLoad load);

    /**
     * The response begins.
     *
     * @param head status and headers
     */
    void onHead(ResponseHead head);

    /**
     * A part of the response body.
     *
     * @param bytes the part; owned by the sink, which releases it
     */
    void onData(ByteBuf bytes);

    /**
     * The response is complete. Last event.
     *
     * @param load the gate's load after the call
     */
    void onEnd(TargetLoad load);

    /**
     * The whole response at once, instead of its head, data and end. Last event.
     *
     * @param head status and headers
     * @param bytes the body, which may be empty; owned by the sink, which releases it
     * @param load the gate's load after the call
     */
    default void onResponse(final ResponseHead head, final ByteBuf bytes, final TargetLoad load) {
        onHead(head);
        if (bytes.isReadable()) {
            onData(bytes);
        } else {
            bytes.release();
        }
        onEnd(load);
    }

    /**
     * The call failed after its admission. Last event.
     *
     * @param code the reason
     * @param phase the last known phase of the call; NEVER or REFUSED if it certainly was not run
     */
    void onFailed(ErrorCode code, CallPhase phase);

    /**
     * The link to the gate was lost. Last event.
     *
     * @param phase NEVER if the call was not sent, otherwise STARTED
     * @param gateIncarnation the incarnation of the gate's process that received the call; {@link
     *     NodeIdentity#UNKNOWN_INCARNATION} if the gate has not named it
     */
    default void onLinkLost(final CallPhase phase, final long gateIncarnation) {
        onFailed(ErrorCode.LINK_LOST, phase);
    }

    /**
     * More of the request body may be sent.
     *
     * @param bytes additional credit in bytes
     */
    void onCredit(int bytes);
}
