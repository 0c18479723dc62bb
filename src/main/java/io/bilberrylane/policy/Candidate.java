package io.bilberrylane.policy;

import java.util.Objects;

/**
 * A target that may serve a call.
 *
 * @param host the target's host
 * @param dataCentre the target's data centre
 * @param slots the number of requests that the target serves concurrently when warm
 */
public record Candidate(String host, String dataCentre, int slots) {
    /** Checks that host and data centre are present. */
    public Candidate {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
    }
}
