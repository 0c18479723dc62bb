package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Objects;

/**
 * One entry of the catalogue.
 *
 * @param service its name
 * @param owner who answers for it
 * @param serviceClass its place in queues
 * @param hosts host names of callers' requests that belong to it, besides its name
 * @param idempotentRules calls that may run more than once, besides GET, HEAD and OPTIONS
 * @param limits what it may use
 * @param resendWindowSeconds how long an idempotency key is remembered, in seconds
 * @param probesPerSecond probes that one target may get from the whole fleet in a second
 * @param objectives its service-level objectives
 * @param targetParameters what holds for each of its targets
 */
public record ServiceEntry(
        String service,
        String owner,
        ServiceClass serviceClass,
        List<String> hosts,
        List<IdempotentRule> idempotentRules,
        Limits limits,
        long resendWindowSeconds,
        double probesPerSecond,
        Objectives objectives,
        TargetParameters targetParameters) {
    /** How long an idempotency key is remembered unless the entry says otherwise, in seconds. */
    static final long DEFAULT_RESEND_WINDOW_SECONDS = 600;

    /** Probes that one target may get in a second unless the entry says otherwise. */
    static final double DEFAULT_PROBES_PER_SECOND = 10;

    private static final List<String> SAFE_METHODS = List.of("GET", "HEAD", "OPTIONS");

    /** Checks the parts and copies the lists. */
    public ServiceEntry {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(serviceClass, "serviceClass is null");
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(objectives, "objectives is null");
        Objects.requireNonNull(targetParameters, "targets is null");
        hosts = List.copyOf(hosts);
        idempotentRules = List.copyOf(idempotentRules);
    }

    /**
     * Returns an entry that says nothing but what its targets bear.
     *
     * @param service its name
     * @param targets what holds for each of its targets
     * @return an entry with defaults
     */
    public static ServiceEntry of(final String service, final TargetParameters targets) {
        return new ServiceEntry(
                service,
                "",
                ServiceClass.STANDARD,
                List.of(),
                List.of(),
                Limits.DEFAULT,
                DEFAULT_RESEND_WINDOW_SECONDS,
                DEFAULT_PROBES_PER_SECOND,
                Objectives.DEFAULT,
                targets);
    }

    /**
     * Returns whether a call may run more than once.
     *
     * @param method the call's method
     * @param path the call's path
     * @return true for safe methods and for calls that a rule covers
     */
    public boolean isIdempotent(final String method, final String path) {
        return SAFE_METHODS.contains(method)
                || idempotentRules.stream().anyMatch(rule -> rule.matches(method, path));
    }
}
