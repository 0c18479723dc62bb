package io.bilberrylane.catalogue;

import java.util.List;
import java.util.Objects;

/**
 * The catalogue entry of a service.
 *
 * @param service the service's name
 * @param owner the owner of the service
 * @param serviceClass the priority class in queues
 * @param hosts the host names that route to the service, in addition to its name
 * @param idempotentRules the rules for calls that may run more than once, in addition to GET, HEAD
 *     and OPTIONS
 * @param limits the limits on the service's calls
 * @param resendWindowSeconds the retention time of an idempotency key, in seconds
 * @param probesPerSecond the maximum number of probes per second to one target from the whole fleet
 * @param objectives the service-level objectives
 * @param targetParameters the parameters that apply to each target of the service
 * @param overloadByCost whether calls that compete for capacity go by what their delay costs
 *     callers, although the catalogue may hold no organisations
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
        TargetParameters targetParameters,
        boolean overloadByCost) {
    /** The default retention time of an idempotency key, in seconds. */
    static final long DEFAULT_RESEND_WINDOW_SECONDS = 600;

    /** The default maximum number of probes per second to one target. */
    static final double DEFAULT_PROBES_PER_SECOND = 10;

    private static final List<String> SAFE_METHODS = List.of("GET", "HEAD", "OPTIONS");

    /** Checks for null and copies the lists. */
    public ServiceEntry {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(serviceClass, "serviceClass is null");
        Objects.requireNonNull(limits, "limits is null");
        Objects.requireNonNull(objectives, "objectives is null");
        Objects.requireNonNull(targetParameters, "targetParameters is null");
        hosts = List.copyOf(hosts);
        idempotentRules = List.copyOf(idempotentRules);
    }

    /**
     * Returns an entry that sets only the parameters of its targets and limits no calls.
     *
     * @param service the service's name
     * @param targetParameters the parameters that apply to each target of the service
     * @return an entry with defaults for everything else and an empty owner
     */
    public static ServiceEntry of(final String service, final TargetParameters targetParameters) {
        return new ServiceEntry(
                service,
                "",
                ServiceClass.STANDARD,
                List.of(),
                List.of(),
                Limits.UNLIMITED,
                DEFAULT_RESEND_WINDOW_SECONDS,
                DEFAULT_PROBES_PER_SECOND,
                Objectives.DEFAULT,
                targetParameters,
                false);
    }

    /**
     * Returns whether a call may run more than once.
     *
     * @param method the call's method
     * @param path the call's path
     * @return true for safe methods and for calls that a rule matches
     */
    public boolean isIdempotent(final String method, final String path) {
        return SAFE_METHODS.contains(method)
                || idempotentRules.stream().anyMatch(rule -> rule.matches(method, path));
    }
}
