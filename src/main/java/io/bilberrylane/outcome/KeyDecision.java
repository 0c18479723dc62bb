package io.bilberrylane.outcome;

import java.util.Objects;

/**
 * What a gate does with a call that carries an idempotency key.
 *
 * @param <A> what is remembered of an answer
 */
public sealed interface KeyDecision<A> {
    /**
     * The key is new here; a claim must be recorded before the call may run.
     *
     * @param <A> what is remembered of an answer
     */
    record Claim<A>() implements KeyDecision<A> {}

    /**
     * Another call with the key is in progress here; its end decides.
     *
     * @param <A> what is remembered of an answer
     */
    record Wait<A>() implements KeyDecision<A> {}

    /**
     * The key ran and its answer is known.
     *
     * @param response the answer
     * @param <A> what is remembered of an answer
     */
    record Replay<A>(A response) implements KeyDecision<A> {
        /** Checks that there is an answer. */
        public Replay {
            Objects.requireNonNull(response, "answer is null");
        }
    }

    /**
     * The key may have run and its answer is not known.
     *
     * @param <A> what is remembered of an answer
     */
    record Unknown<A>() implements KeyDecision<A> {}

    /**
     * The key was used with a different request.
     *
     * @param <A> what is remembered of an answer
     */
    record Reused<A>() implements KeyDecision<A> {}

    /**
     * The key was not run; its claim is being given back, and another try may help.
     *
     * @param <A> what is remembered of an answer
     */
    record Busy<A>() implements KeyDecision<A> {}
}
