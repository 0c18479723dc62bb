package io.bilberrylane.platform;

import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.InterfaceProfile;
import java.util.Set;

/**
 * The interface profile of the users' platform. Some header names differ from what they hold:
 *
 * <ul>
 *   <li>{@code X-Request-Deadline-Ms}: the time that remains for a request, not a point in time
 *   <li>{@code X-Target-Instance}: in a request, the target that it is for
 *   <li>{@code X-Instance-Id}: in a response, the target that sent it
 *   <li>{@code X-Response-Signature}: only its presence is checked
 *   <li>{@code X-Cold-Ms}: the time for which a target remains cold
 *   <li>{@code X-Tenant}: the organisation that makes a request
 * </ul>
 */
public final class PlatformProfile {
    /** In place of fields that only the project's own interface has. */
    private static final String NO_FIELD = "";

    private static final HeaderNames HEADER_NAMES =
            new HeaderNames(
                    NO_FIELD,
                    NO_FIELD,
                    "X-Request-Id",
                    "X-Request-Deadline-Ms",
                    "X-Target-Instance",
                    "X-Instance-Id",
                    "X-Caller-Service",
                    "X-Instance-Load",
                    "X-Not-Executed",
                    "X-Response-Signature",
                    "X-Cold-Ms",
                    "X-Tenant",
                    "Token",
                    true,
                    Set.of(408, 421, 429, 503),
                    true);

    private PlatformProfile() {}

    /**
     * Returns the profile.
     *
     * @param targetAddress the only address that a heartbeat to this node may contain; empty if any
     *     address is accepted
     * @param heartbeatIntervalMillis the interval of the targets' heartbeats, in milliseconds
     * @return the interface profile
     */
    public static InterfaceProfile of(
            final String targetAddress, final long heartbeatIntervalMillis) {
        return new InterfaceProfile(
                HEADER_NAMES,
                new PlatformConfigurationFormat(),
                HeartbeatEndpoint.PATH_PREFIX,
                registry ->
                        new HeartbeatEndpoint(registry, targetAddress, heartbeatIntervalMillis));
    }
}
