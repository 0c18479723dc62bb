package io.bilberrylane.node;

import io.bilberrylane.policy.QuotaAnswer;
import io.netty.util.concurrent.EventExecutor;
import java.util.function.Consumer;

/** Where the calls of an ingress get the tokens of their organisations' limits. */
interface TokenSource {
    boolean isLimited(String organisation);

    /** Returns the time until a token expires, in nanoseconds; 0 or less if it has. */
    long remainingNanos(long expiryNanos);

    /**
     * Reserves a token for a call. The consumer gets the answer on the executor, before this method
     * returns if the answer is known.
     */
    void reserve(String organisation, EventExecutor executor, Consumer<QuotaAnswer> consumer);

    /** Returns a token, because its call did not run. */
    void release(String organisation, long expiryNanos);

    /** Records that a call has spent its token. */
    void recordSpent();
}
