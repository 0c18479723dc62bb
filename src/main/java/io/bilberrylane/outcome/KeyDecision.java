package io.bilberrylane.outcome;

import java.util.Objects;

/**
 * What a gate does with a call that carries an idempotency key.
 *
 * @param <A> the type of a stored response
 */
public sealed interface KeyDecision<A> {
    /**
     * The key is new here; a claim must be recorded before the call may run.
     *
     * @param <A> the type of a stored response
     */
    record Claim<A>() implements KeyDecision<A> {}

    /**
     * Another call with the key is in progress here; its end determines the result.
     *
     * @param <A> the type of a stored response
     */
    record Wait<A>() implements KeyDecision<A> {}

    /**
     * The key has run and its response is known.
     *
     * @param response the response
     * @param <A> the type of a stored response
     */
    record Replay<A>(A response) implements KeyDecision<A> {
        /** Checks that the response is present. */
        public Replay {
            Objects.requireNonNull(response, "response is null");
        }
    }

    /**
     * The key may have run and its response is not known.
     *
     * @param <A> the type of a stored response
     */
    record Unknown<A>() implements KeyDecision<A> {}

    /**
     * The key was used with a different request.
     *
     * @param <A> the type of a stored response
     */
    record Reused<A>() implements KeyDecision<A> {}

    /**
     * The key was not run and its claim is being released; another attempt may succeed.
     *
     * @param <A> the type of a stored response
     */
    record Busy<A>() implements KeyDecision<A> {}
}
