package io.bilberrylane.node;

import io.bilberrylane.base.DecisionLog;
import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Organisation;
import io.bilberrylane.policy.QuotaAnswer;
import java.util.Optional;
import java.util.function.Supplier;

/** Records the calls that are refused because of a limit, for operators. */
final class QuotaRefusals {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final QuotaCounters mCounters;
    private final Supplier<Catalogue> mCatalogue;

    QuotaRefusals(final QuotaCounters counters, final Supplier<Catalogue> catalogue) {
        mCounters = counters;
        mCatalogue = catalogue;
    }

    void record(
            final String organisation,
            final QuotaAnswer answer,
            final int tokens,
            final long grantAgeNanos) {
        mCounters.recordRefused();
        final Optional<Organisation> limit =
                mCatalogue.get().organisations().stream()
                        .filter(candidate -> candidate.name().equals(organisation))
                        .findFirst();
        DecisionLog.event("quota-refused")
                .with("organisation", organisation)
                .with("ratePerSecond", limit.map(Organisation::ratePerSecond).orElse(0.0))
                .with("burst", limit.map(Organisation::burst).orElse(0.0))
                .with("tokens", tokens)
                .with("grantAgeMillis", grantAgeNanos / NANOS_PER_MILLI)
                .with("owners", answer.owners())
                .with("retryAfterMillis", answer.retryAfterNanos() / NANOS_PER_MILLI)
                .write();
    }
}
