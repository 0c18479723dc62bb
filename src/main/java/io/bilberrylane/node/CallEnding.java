package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.peer.Refusal;

/** Ends a call for which no further attempt is made. */
interface CallEnding {
    /** Ends the call as not run, unless an earlier attempt may have run. */
    void refuse(Refusal refusal);

    /** Ends the call without a complete response. */
    void fail(ErrorCode code, CallPhase phase);
}
