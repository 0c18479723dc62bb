package io.bilberrylane.http;

import io.bilberrylane.catalogue.Catalogue;
import io.bilberrylane.catalogue.Route;
import io.bilberrylane.catalogue.RouteMatch;
import io.bilberrylane.peer.CallHead;
import io.bilberrylane.peer.HeaderField;
import io.bilberrylane.policy.CallerAuthentication;
import io.bilberrylane.policy.CallerIdentity;
import io.bilberrylane.policy.Credential;
import io.bilberrylane.policy.LocalRuns;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Who makes a call by the configuration that was in force when the call arrived, and what is needed
 * to decide again by another one. It stays at the ingress.
 *
 * @param catalogue the configuration by which the caller was identified
 * @param credential what the request carries; the digest of a key, not the key
 * @param host the host name by which the route is found
 * @param path the path by which the route is found
 * @param identity who makes the call
 */
public record CallerPermit(
        Catalogue catalogue,
        Credential credential,
        String host,
        String path,
        CallerIdentity identity) {
    /** Checks that no component is null. */
    public CallerPermit {
        Objects.requireNonNull(catalogue, "catalogue is null");
        Objects.requireNonNull(credential, "credential is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(identity, "identity is null");
    }

    /**
     * Identifies the caller of a request.
     *
     * @param catalogue the configuration in force
     * @param credential what the request carries
     * @param host the host name by which the route is found
     * @param path the path by which the route is found
     * @param match the route
     * @param runs what the local target runs
     * @return the permit, whose identity may be that the caller is rejected
     */
    static CallerPermit decide(
            final Catalogue catalogue,
            final Credential credential,
            final String host,
            final String path,
            final RouteMatch match,
            final LocalRuns runs) {
        final boolean isPublic = isPublic(match, false);
        return new CallerPermit(
                catalogue,
                credential,
                host,
                path,
                CallerAuthentication.identify(catalogue, isPublic, credential, runs));
    }

    /**
     * Identifies the caller again by another version of the configuration. A call that was accepted
     * as nested remains nested; one whose route is gone keeps what its route was.
     *
     * @param current the configuration in force
     * @param route the route by which the call was accepted
     * @param runs what the local target runs now
     * @return the permit by the configuration in force
     */
    public CallerPermit renewed(final Catalogue current, final Route route, final LocalRuns runs) {
        final boolean isPublic = isPublic(current.match(host, path), route.isPublic());
        final boolean wasNested = identity instanceof CallerIdentity.Nested;
        final CallerIdentity renewed =
                CallerAuthentication.identify(
                        current, isPublic, credential, wasNested ? runs.assumed() : runs);
        final boolean staysNested = wasNested && renewed instanceof CallerIdentity.Anonymous;
        return new CallerPermit(current, credential, host, path, staysNested ? identity : renewed);
    }

    private static boolean isPublic(final RouteMatch match, final boolean otherwise) {
        return match instanceof RouteMatch.Found found ? found.route().isPublic() : otherwise;
    }

    /**
     * Returns whether the caller may make the call.
     *
     * @return false if it must be refused
     */
    public boolean isAccepted() {
        return !(identity instanceof CallerIdentity.Rejected);
    }

    /**
     * Returns the name of the organisation that makes the call.
     *
     * @return the name; empty if no organisation is known
     */
    public String organisation() {
        return identity instanceof CallerIdentity.Known known ? known.organisation().name() : "";
    }

    /**
     * Enters the caller into the head of its call. The key and an organisation that the caller has
     * named are removed if the configuration requires keys.
     *
     * @param head the head of the call
     * @param route the route of the call
     * @param runs what the local target runs, whose priority a nested call inherits
     * @param names the header fields that callers use
     * @return the changed copy
     */
    public CallHead applyTo(
            final CallHead head, final Route route, final LocalRuns runs, final HeaderNames names) {
        return head.forCaller(
                catalogue.requiresKeys() ? withoutIdentity(head.headers(), names) : head.headers(),
                CallerAuthentication.priority(identity, route.priority(), runs),
                organisation(),
                identity instanceof CallerIdentity.Nested);
    }

    private static List<HeaderField> withoutIdentity(
            final List<HeaderField> fields, final HeaderNames names) {
        final List<HeaderField> kept = new ArrayList<>(fields.size());
        for (final HeaderField field : fields) {
            if (!names.identifiesCaller(field.name())) {
                kept.add(field);
            }
        }
        return kept;
    }
}
