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
 * @param readsPlatform whether the platform answers the node's reads, as far as the node has tried
 */
public record Member(
        String host,
        String dataCentre,
        String peerAddress,
        long incarnation,
        long revision,
        MemberStatus status,
        Optional<TargetRecord> target,
        boolean readsPlatform) {
    /** Checks that no component is null. */
    public Member {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(dataCentre, "dataCentre is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(status, "status is null");
        Objects.requireNonNull(target, "target is null");
    }

    /**
     * Creates the record of a node that reads the platform or has not tried.
     *
     * @param host the host name, unique in the fleet
     * @param dataCentre the data centre of the node
     * @param peerAddress the IP address and port for peers
     * @param incarnation the start time of the process, in milliseconds since 1970
     * @param revision increases whenever the member itself changes its record
     * @param status the assumed status
     * @param target the node's local target, empty if none is announced
     */
    public Member(
            final String host,
            final String dataCentre,
            final String peerAddress,
            final long incarnation,
            final long revision,
            final MemberStatus status,
            final Optional<TargetRecord> target) {
        this(host, dataCentre, peerAddress, incarnation, revision, status, target, true);
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
        return new Member(
                host,
                dataCentre,
                peerAddress,
                incarnation,
                revision,
                newStatus,
                target,
                readsPlatform);
    }

    /**
     * Returns a copy of the record with another revision.
     *
     * @param newRevision the revision of the copy
     * @return the copy
     */
    public Member withRevision(final long newRevision) {
        return new Member(
                host,
                dataCentre,
                peerAddress,
                incarnation,
                newRevision,
                status,
                target,
                readsPlatform);
    }

    /**
     * Returns a copy of the record with another target.
     *
     * @param newTarget the target of the copy; empty if there is none
     * @return the copy
     */
    public Member withTarget(final Optional<TargetRecord> newTarget) {
        return new Member(
                host,
                dataCentre,
                peerAddress,
                incarnation,
                revision,
                status,
                newTarget,
                readsPlatform);
    }

    /**
     * Returns a copy of the record that tells whether the platform answers.
     *
     * @param newReadsPlatform whether the platform answers the reads of the node
     * @return the copy
     */
    public Member withReadsPlatform(final boolean newReadsPlatform) {
        return new Member(
                host,
                dataCentre,
                peerAddress,
                incarnation,
                revision,
                status,
                target,
                newReadsPlatform);
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
