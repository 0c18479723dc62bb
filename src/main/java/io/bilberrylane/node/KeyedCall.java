package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;

/** A call that waits for the decision on its idempotency key. */
interface KeyedCall {
    /** The key is ours and the call may run. */
    void onKeyAcquired();

    /** The key ran; its answer is to be replayed. */
    void onKeyReplayed(StoredResponse response);

    /** The call is not run here; a holder is named when another gate may know more. */
    void onKeyRefused(ErrorCode code, String holder);

    /** The key may have run and its answer is not known. */
    void onKeyOutcomeUnknown();
}
