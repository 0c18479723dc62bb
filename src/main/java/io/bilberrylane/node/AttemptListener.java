package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.Refusal;
import io.bilberrylane.peer.ResponseHead;
import io.bilberrylane.policy.TargetLoad;
import io.netty.buffer.ByteBuf;

/** Receives the events of the attempts of one call, on the event loop of the call. */
interface AttemptListener {
    /** The gate has sent nothing for longer than it may queue the call. */
    void onSilence(GateAttempt attempt);

    /** The gate has admitted the call; the attempt may have ended before. */
    void onAdmitted(GateAttempt attempt, TargetLoad load);

    /** The attempt has ended: the gate has refused the call. */
    void onRefused(GateAttempt attempt, Refusal refusal);

    /** The response begins. */
    void onHead(GateAttempt attempt, ResponseHead head);

    /** A part of the response body, which the listener releases. */
    void onData(GateAttempt attempt, ByteBuf bytes);

    /** The attempt has ended: the response is complete. */
    void onEnd(GateAttempt attempt, TargetLoad load);

    /** The attempt has ended: a whole response, whose body the listener releases. */
    void onResponse(GateAttempt attempt, ResponseHead head, ByteBuf bytes, TargetLoad load);

    /** The attempt has ended without a complete response. */
    void onFailed(GateAttempt attempt, ErrorCode code, CallPhase phase);

    /** The gate can receive more of the request body. */
    void onCredit(GateAttempt attempt, int bytes);
}
