package io.bilberrylane.membership;

import java.util.Objects;
import java.util.Optional;

/**
 * A node's record in the member table of a node.
 *
 * @param host the host name, unique in the fleet
 * @param dataCentre the data centre of the node
 * @param peerAddress the IP address and port for peers
 * @param incarnation the start time of the process, in milliseconds since 1970
 * @param revision increases whenever the member itself changes its record
 * @param status the assumed status
 * @param target the node's local target, empty if none is announced
 */
public record Member(
        String host,
        String dataCentre,
        String peerAddress,
        long incarnation,
        long revision,
        MemberStatus status,
        Optional<TargetRecord> target) {
    /** Checks that no component is null. */
    public Member {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(target, "target is null");
    }

    /**
     * Returns whether this record replaces another of the same host. Compares the incarnations,
     * then the revisions, then the statuses.
     *
     * @param other the record stored so far
     * @return true if this record is newer
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
     * Returns a copy of the record with another status.
     *
     * @param newStatus the status of the copy
     * @return the copy
     */
    public Member withStatus(final MemberStatus newStatus) {
        return new Member(host, dataCentre, peerAddress, incarnation, revision, newStatus, target);
    }

    /**
     * Returns whether the member may serve calls.
     *
     * @return true if the member is alive or suspected
     */
    public boolean isPresent() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }
}
