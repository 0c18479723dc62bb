package io.bilberrylane.platform;

import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.InterfaceProfile;
import java.util.Set;

/** The interface of the users' platform. */
public final class PlatformProfile {
    private static final HeaderNames HEADER_NAMES =
            new HeaderNames(
                    "X-Request-Id",
                    "X-Request-Deadline-Ms",
                    "X-Target-Instance",
                    "X-Instance-Id",
                    "X-Caller-Service",
                    "X-Instance-Load",
                    "X-Not-Executed",
                    "X-Response-Signature",
                    "X-Cold-Ms",
                    true,
                    Set.of(408, 421, 429, 503),
                    true);

    private PlatformProfile() {}

    /**
     * Returns the profile.
     *
     * @param targetAddress the only address that a target beside this node may name; empty for any
     * @param heartbeatIntervalMillis how often targets say that they live, in milliseconds
     * @return the profile
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
