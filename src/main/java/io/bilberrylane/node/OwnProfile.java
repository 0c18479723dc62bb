package io.bilberrylane.node;

import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.InterfaceProfile;

/** The project's own interface. */
public final class OwnProfile {
    private OwnProfile() {}

    /**
     * Returns the profile.
     *
     * @return the profile
     */
    public static InterfaceProfile create() {
        return new InterfaceProfile(
                HeaderNames.OWN,
                new OwnConfigurationFormat(),
                TargetEndpoint.PREFIX,
                TargetEndpoint::new);
    }
}
