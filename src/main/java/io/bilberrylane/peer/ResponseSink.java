package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;

/** Receives what a gate says about one call, in order. Implementations must not block. */
public interface ResponseSink {
    /**
     * The call holds a slot; its body may be sent within the credit.
     *
     * @param load the gate's load after the admission
     */
    void onAdmitted(TargetLoad load);

    /**
     * The call was not run and never will be. Last event.
     *
     * @param refusal why, and what may help
     * @param load the gate's load
     */
    void onRefused(Refusal refusal, TargetLoad load);

    /**
     * The answer begins.
     *
     * @param head status and headers
     */
    void onHead(ResponseHead head);

    /**
     * A part of the answer's body.
     *
     * @param bytes owned by the receiver, which releases it
     */
    void onData(ByteBuf bytes);

    /**
     * The answer is complete. Last event.
     *
     * @param load the gate's load after the call
     */
    void onEnd(TargetLoad load);

    /**
     * The call failed after its admission. Last event.
     *
     * @param code why
     * @param phase what is known of the run; NEVER or REFUSED when it certainly was not run
     */
    void onFailed(ErrorCode code, io.bilberrylane.outcome.CallPhase phase);

    /**
     * More body data may be sent.
     *
     * @param bytes additional credit in bytes
     */
    void onCredit(int bytes);
}
