package io.bilberrylane.node;

import io.bilberrylane.base.ErrorCode;

/** A call that waits for the decision on its idempotency key. */
interface KeyedCall {
    /** This gate holds the claim for the key; the call may run. */
    void onKeyAcquired();

    /** The key was run; its response is to be replayed. */
    void onKeyReplayed(StoredResponse response);

    /** The call is not run here. The holder is the host whose gate may know more, or empty. */
    void onKeyRefused(ErrorCode code, String holder);

    /** The key may have been run and its response is not known. */
    void onKeyOutcomeUnknown();
}
