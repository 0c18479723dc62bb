package io.bilberrylane.ctl;

import io.bilberrylane.base.BilberrylaneException;
import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.catalogue.ConfigurationDocument;
import io.bilberrylane.platform.ObjectStore;
import io.bilberrylane.platform.StoredObject;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Reads and conditionally replaces the accepted catalogue. Blocks. */
public final class CatalogueStore {
    private static final int MAX_ATTEMPTS = 8;

    private final ObjectStore mStore;

    private CatalogueStore(final ObjectStore store) {
        mStore = store;
    }

    /**
     * Returns a catalogue store that uses the platform's object store.
     *
     * @param store the platform's object store
     * @return the catalogue store
     */
    public static CatalogueStore of(final ObjectStore store) {
        return new CatalogueStore(Objects.requireNonNull(store, "store is null"));
    }

    /**
     * Returns the accepted catalogue.
     *
     * @return the document
     * @throws BilberrylaneException with PLATFORM_NOT_FOUND if no catalogue was ever accepted
     */
    public ConfigurationDocument read() {
        return ConfigurationDocument.read(
                join(mStore.get(ConfigurationDocument.KIND, ConfigurationDocument.NAME)).spec());
    }

    /**
     * Replaces the accepted catalogue. If the platform's response is lost, a retry recognises the
     * change by its change ID, so that it is never applied twice.
     *
     * @param text the validated catalogue
     * @param author the author of the change
     * @param baseRevision the revision that the change is based on, or -1 for the newest
     * @return the accepted change
     * @throws BilberrylaneException with PLATFORM_CONFLICT if another change was accepted first,
     *     with PLATFORM_UNAVAILABLE if it is unknown whether the change was accepted
     */
    public ApplyOutcome apply(final String text, final String author, final long baseRevision) {
        final String changeId = UUID.randomUUID().toString();
        boolean mayBeAccepted = false;
        long expectedRevision = baseRevision;
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                final Optional<StoredObject> current = current();
                final ConfigurationDocument accepted =
                        current.map(object -> ConfigurationDocument.read(object.spec()))
                                .orElse(new ConfigurationDocument(0, "", "", ""));
                if (accepted.changeId().equals(changeId)) {
                    return new ApplyOutcome(accepted.revision(), true);
                }
                expectedRevision = expectedRevision < 0 ? accepted.revision() : expectedRevision;
                checkRevision(accepted, expectedRevision, mayBeAccepted);
                final ConfigurationDocument next =
                        new ConfigurationDocument(accepted.revision() + 1, changeId, author, text);
                mayBeAccepted = true;
                write(current, next);
                return new ApplyOutcome(next.revision(), false);
            } catch (BilberrylaneException e) {
                if (e.code() != ErrorCode.PLATFORM_UNAVAILABLE
                        && e.code() != ErrorCode.PLATFORM_THROTTLED
                        && e.code() != ErrorCode.PLATFORM_CONFLICT) {
                    throw e;
                }
                if (e instanceof ConflictException) {
                    throw e;
                }
            }
        }
        throw new BilberrylaneException(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "the platform did not confirm change "
                        + changeId
                        + (mayBeAccepted ? "; it may have been accepted" : "; it was not accepted")
                        + ". Check the output of 'ctl get' before you apply it again");
    }

    // -- platform access

    private Optional<StoredObject> current() {
        try {
            return Optional.of(
                    join(mStore.get(ConfigurationDocument.KIND, ConfigurationDocument.NAME)));
        } catch (BilberrylaneException e) {
            if (e.code() == ErrorCode.PLATFORM_NOT_FOUND) {
                return Optional.empty();
            }
            throw e;
        }
    }

    private void write(final Optional<StoredObject> current, final ConfigurationDocument next) {
        if (current.isPresent()) {
            join(
                    mStore.update(
                            ConfigurationDocument.KIND,
                            ConfigurationDocument.NAME,
                            current.get().version(),
                            next.toSpec()));
        } else {
            join(
                    mStore.create(
                            ConfigurationDocument.KIND, ConfigurationDocument.NAME, next.toSpec()));
        }
    }

    private static void checkRevision(
            final ConfigurationDocument accepted,
            final long expectedRevision,
            final boolean mayBeAccepted) {
        if (accepted.revision() != expectedRevision) {
            throw new ConflictException(
                    "revision "
                            + accepted.revision()
                            + " by "
                            + accepted.author()
                            + " was accepted before this change, which is based on revision "
                            + expectedRevision
                            + (mayBeAccepted
                                    ? "; this change may have been accepted and then replaced"
                                    : "; nothing was changed"));
        }
    }

    static <T> T join(final CompletableFuture<T> future) {
        try {
            return future.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof BilberrylaneException exception) {
                throw exception;
            }
            throw e;
        }
    }
}
