package io.bilberrylane.node;

import io.bilberrylane.catalogue.OwnConfigurationFormat;
import io.bilberrylane.http.HeaderNames;
import io.bilberrylane.http.InterfaceProfile;

/** The interface profile that the project defines itself, as opposed to the platform's. */
public final class OwnProfile {
    private OwnProfile() {}

    /**
     * Creates the profile.
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
