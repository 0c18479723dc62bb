package io.bilberrylane.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;
import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.peer.NodeIdentity;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * Records in the platform which gate runs an idempotency key, by a conditional create before the
 * run.
 *
 * <p>A claim has no lease. It names its holder until it is deleted, so that a holder that resumes
 * after a pause still holds it, and no other gate ever runs the key.
 */
final class ClaimStore {
    /** The object kind of claims in the platform. */
    static final String KIND = "claims";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_TRIES = 4;

    private final NodeIdentity mIdentity;
    private final ObjectStore mStore;

    ClaimStore(final NodeIdentity identity, final ObjectStore store) {
        mIdentity = identity;
        mStore = store;
    }

    static String objectName(final String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    /**
     * Returns whether the holder of a claim is this host, in its current or an earlier incarnation.
     */
    boolean isOwnHost(final String host) {
        return host.equals(mIdentity.host());
    }

    // -- claim

    CompletableFuture<ClaimResult> claim(final String key, final String fingerprint) {
        return create(key, fingerprint, MAX_TRIES);
    }

    private CompletableFuture<ClaimResult> create(
            final String key, final String fingerprint, final int triesLeft) {
        if (triesLeft == 0) {
            return CompletableFuture.completedFuture(new ClaimResult.Unavailable());
        }
        return mStore.create(KIND, objectName(key), spec(fingerprint))
                .handle(
                        (object, failure) -> {
                            if (failure == null) {
                                return granted(object);
                            }
                            return mayHaveBeenRecorded(failure)
                                    ? readClaim(key, fingerprint, triesLeft - 1)
                                    : unavailable();
                        })
                .thenCompose(result -> result);
    }

    /** Reads the claim to find its holder, after a create that did not certainly succeed. */
    private CompletableFuture<ClaimResult> readClaim(
            final String key, final String fingerprint, final int triesLeft) {
        return mStore.get(KIND, objectName(key))
                .handle(
                        (object, failure) -> {
                            if (failure == null) {
                                return evaluateClaim(key, fingerprint, object, triesLeft);
                            }
                            return errorCode(failure) == ErrorCode.PLATFORM_NOT_FOUND
                                    ? create(key, fingerprint, triesLeft)
                                    : unavailable();
                        })
                .thenCompose(result -> result);
    }

    private CompletableFuture<ClaimResult> evaluateClaim(
            final String key,
            final String fingerprint,
            final StoredObject object,
            final int triesLeft) {
        final String holder = object.spec().path("holder").asText();
        final long incarnation = object.spec().path("incarnation").asLong();
        if (object.spec().has("answer")) {
            return CompletableFuture.completedFuture(
                    new ClaimResult.Finished(
                            object.spec().path("fingerprint").asText(),
                            StoredResponse.read(object.spec().path("answer"))));
        }
        if (!holder.equals(mIdentity.host()) || incarnation != mIdentity.incarnation()) {
            return CompletableFuture.completedFuture(new ClaimResult.Held(holder, incarnation));
        }
        return reacquire(key, fingerprint, object, triesLeft);
    }

    /**
     * Takes over a claim of this process whose key is not recorded as run in the process's key
     * table. The update changes the version, so that a delete of the old version that is still in
     * flight fails.
     */
    private CompletableFuture<ClaimResult> reacquire(
            final String key,
            final String fingerprint,
            final StoredObject object,
            final int triesLeft) {
        if (triesLeft == 0) {
            return unavailable();
        }
        return mStore.update(KIND, objectName(key), object.version(), spec(fingerprint))
                .handle(
                        (updated, failure) ->
                                failure == null
                                        ? granted(updated)
                                        : readClaim(key, fingerprint, triesLeft - 1))
                .thenCompose(result -> result);
    }

    // -- completion and release

    /**
     * Records the response of a finished run in its claim. Completes with the claim's new version,
     * or with an empty value if the update failed.
     */
    CompletableFuture<Optional<Long>> recordResponse(
            final String key,
            final long version,
            final String fingerprint,
            final StoredResponse response) {
        final ObjectNode spec = spec(fingerprint);
        spec.set("answer", response.toJson());
        return mStore.update(KIND, objectName(key), version, spec)
                .handle(
                        (object, failure) ->
                                failure == null ? Optional.of(object.version()) : Optional.empty());
    }

    /**
     * Deletes a claim. Completes with true if the claim certainly no longer exists or has another
     * version, otherwise with false.
     */
    CompletableFuture<Boolean> release(final String key, final long version) {
        return mStore.delete(KIND, objectName(key), version)
                .handle(
                        (done, failure) ->
                                failure == null
                                        || errorCode(failure) == ErrorCode.PLATFORM_NOT_FOUND
                                        || errorCode(failure) == ErrorCode.PLATFORM_CONFLICT);
    }

    // -- object format

    private ObjectNode spec(final String fingerprint) {
        return MAPPER.createObjectNode()
                .put("holder", mIdentity.host())
                .put("incarnation", mIdentity.incarnation())
                .put("fingerprint", fingerprint);
    }

    private static CompletableFuture<ClaimResult> granted(final StoredObject object) {
        return CompletableFuture.completedFuture(new ClaimResult.Granted(object.version()));
    }

    private static CompletableFuture<ClaimResult> unavailable() {
        return CompletableFuture.completedFuture(new ClaimResult.Unavailable());
    }

    private static boolean mayHaveBeenRecorded(final Throwable failure) {
        return errorCode(failure) != ErrorCode.PLATFORM_THROTTLED;
    }

    private static ErrorCode errorCode(final Throwable failure) {
        final Throwable cause =
                failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof BilberrylaneException exception
                ? exception.code()
                : ErrorCode.PLATFORM_UNAVAILABLE;
    }
}
