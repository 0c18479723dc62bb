package io.bilberrylane.policy;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Organisation;
import java.util.Optional;

/** Decides who makes a call, by its credential and the configuration in force. */
public final class CallerAuthentication {
    private CallerAuthentication() {}

    /**
     * Returns who makes a call.
     *
     * @param catalogue the configuration in force
     * @param isPublic whether the route of the call is public
     * @param credential what the request carries
     * @param runs what the local target runs
     * @return the identity, or that the call must be refused
     */
    public static CallerIdentity identify(
            final Catalogue catalogue,
            final boolean isPublic,
            final Credential credential,
            final LocalRuns runs) {
        if (!catalogue.requiresKeys()) {
            return new CallerIdentity.Open();
        }
        final CallerIdentity identity =
                switch (credential) {
                    case Credential.Absent absent -> withoutKey(isPublic, runs);
                    case Credential.Malformed malformed -> rejected(RejectionReason.MALFORMED);
                    case Credential.Key key -> identify(catalogue, key);
                };
        return isPublic && identity instanceof CallerIdentity.Rejected
                ? new CallerIdentity.Anonymous()
                : identity;
    }

    /**
     * Returns who makes a call without a key. On a public route only a request that runs now makes
     * it a nested call: a caller without a key is served there anyway, and should rarely get the
     * rank of a nested call.
     */
    private static CallerIdentity withoutKey(final boolean isPublic, final LocalRuns runs) {
        final boolean isNested = isPublic ? runs.isBusy() : runs.mayCall();
        return isNested ? new CallerIdentity.Nested() : rejected(RejectionReason.MISSING);
    }

    private static CallerIdentity identify(final Catalogue catalogue, final Credential.Key key) {
        final Optional<Organisation> organisation = catalogue.organisationOf(key.digest());
        return organisation.isPresent()
                ? new CallerIdentity.Known(organisation.get())
                : rejected(RejectionReason.UNKNOWN);
    }

    private static CallerIdentity rejected(final RejectionReason reason) {
        return new CallerIdentity.Rejected(reason);
    }

    /**
     * Returns the priority in force for a call.
     *
     * @param identity who makes the call
     * @param routePriority the priority of its route
     * @param runs what the local target runs
     * @return the priority of the organisation, or the most urgent one that a nested call inherits,
     *     or that of the route
     */
    public static int priority(
            final CallerIdentity identity, final int routePriority, final LocalRuns runs) {
        return switch (identity) {
            case CallerIdentity.Known known ->
                    known.organisation().priority().orElse(routePriority);
            case CallerIdentity.Nested nested -> runs.mostUrgentPriority().orElse(routePriority);
            case CallerIdentity.Open open -> routePriority;
            case CallerIdentity.Anonymous anonymous -> routePriority;
            case CallerIdentity.Rejected rejected -> routePriority;
        };
    }
}
