package io.bilberrylane.membership;

import java.util.Objects;
import java.util.Optional;

/**
 * One node as another sees it.
 *
 * @param host the host name, unique in the fleet
 * @param dataCentre the data centre
 * @param peerAddress IP and port for peers
 * @param incarnation the start of the process, in milliseconds since 1970
 * @param revision grows whenever the member itself changes its record
 * @param status what is believed of it
 * @param target the target beside it, if one is announced
 */
public record Member(
        String host,
        String dataCentre,
        String peerAddress,
        long incarnation,
        long revision,
        MemberStatus status,
        Optional<TargetRecord> target) {
    /** Checks that every part is present. */
    public Member {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(target, "target is null");
    }

    /**
     * Returns whether this record replaces another of the same host.
     *
     * @param other the record held so far
     * @return true when this one is newer
     */
    public boolean supersedes(final Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (revision != other.revision) {
            return revision > other.revision;
        }
        return status.compareTo(other.status) > 0;
    }

    /**
     * Returns the record with another status.
     *
     * @param newStatus the status
     * @return a changed copy
     */
    public Member withStatus(final MemberStatus newStatus) {
        return new Member(host, dataCentre, peerAddress, incarnation, revision, newStatus, target);
    }

    /**
     * Returns whether the member may serve calls.
     *
     * @return true when alive or only suspected
     */
    public boolean isPresent() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }
}
