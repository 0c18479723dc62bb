package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.Member;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.RolloutRow;
import io.bilberrylane.policy.RolloutSummary;
import io.bilberrylane.policy.TargetLoad;
import java.util.List;

/** A message between two nodes. */
public sealed interface PeerMessage {
    /** The version of the protocol that this node implements. */
    int PROTOCOL_VERSION = 2;

    /** The first version whose nodes accept a {@link Response}. */
    int RESPONSE_VERSION = 2;

    /** A message that belongs to one call. */
    sealed interface StreamMessage extends PeerMessage {
        /**
         * Returns the id of the call's stream, unique within a link.
         *
         * @return the stream id
         */
        int streamId();
    }

    /**
     * The first message on a link, in both directions.
     *
     * @param protocolVersion the newest protocol version of the sender
     * @param host the sender's host name
     * @param incarnation the start time of the sender's process, in milliseconds since 1970
     */
    record Hello(int protocolVersion, String host, long incarnation) implements PeerMessage {}

    /**
     * Checks whether the link is alive.
     *
     * @param nonce repeated in the pong
     */
    record Ping(long nonce) implements PeerMessage {}

    /**
     * Replies to a ping.
     *
     * @param nonce the nonce of the ping
     */
    record Pong(long nonce) implements PeerMessage {}

    /**
     * Opens a call.
     *
     * @param streamId the id of the new stream
     * @param head the head of the call
     */
    record Open(int streamId, CallHead head) implements StreamMessage {}

    /**
     * The call was admitted and holds a slot.
     *
     * @param streamId the id of the stream
     * @param load the gate's load
     */
    record Admit(int streamId, TargetLoad load) implements StreamMessage {}

    /**
     * The call was not run.
     *
     * @param streamId the id of the stream
     * @param refusal the reason
     * @param load the gate's load
     */
    record Refuse(int streamId, Refusal refusal, TargetLoad load) implements StreamMessage {}

    /**
     * The response begins.
     *
     * @param streamId the id of the stream
     * @param head status and headers
     */
    record Head(int streamId, ResponseHead head) implements StreamMessage {}

    /**
     * A part of a body.
     *
     * @param streamId the id of the stream
     * @param bytes the part
     */
    record Data(int streamId, byte[] bytes) implements StreamMessage {}

    /**
     * The body is complete.
     *
     * @param streamId the id of the stream
     * @param load the gate's load if sent by the gate, otherwise {@link TargetLoad#ABSENT}
     */
    record End(int streamId, TargetLoad load) implements StreamMessage {}

    /**
     * A whole response, which stands for Head, Data and End.
     *
     * @param streamId the id of the stream
     * @param head status and headers
     * @param bytes the body; may be empty
     * @param load the gate's load
     */
    record Response(int streamId, ResponseHead head, byte[] bytes, TargetLoad load)
            implements StreamMessage {}

    /**
     * More of a body may be sent.
     *
     * @param streamId the id of the stream
     * @param bytes additional credit in bytes
     */
    record Credit(int streamId, int bytes) implements StreamMessage {}

    /**
     * The call failed after its admission.
     *
     * @param streamId the id of the stream
     * @param code the reason
     * @param phase the last known phase of the call
     */
    record Fail(int streamId, ErrorCode code, CallPhase phase) implements StreamMessage {}

    /**
     * The caller cancelled the call.
     *
     * @param streamId the id of the stream
     */
    record Cancel(int streamId) implements StreamMessage {}

    /** A request that expects one reply with the same request id. */
    sealed interface Request extends PeerMessage {
        /**
         * Returns the id of the request, unique within a link.
         *
         * @return the request id
         */
        long requestId();
    }

    /** The reply to a {@link Request}. */
    sealed interface Reply extends PeerMessage {
        /**
         * Returns the id of the request.
         *
         * @return the request id
         */
        long requestId();
    }

    /**
     * Requests the load of a gate.
     *
     * @param requestId the id of the request
     */
    record Probe(long requestId) implements Request {}

    /**
     * Returns the load of a gate.
     *
     * @param requestId the id of the request
     * @param load the load
     */
    record ProbeReply(long requestId, TargetLoad load) implements Reply {}

    /**
     * Requests the outcome of a call. A call that the receiver has not seen can never start
     * afterwards.
     *
     * @param requestId the id of the request
     * @param callId the id of the call
     * @param incarnation the incarnation of the process to which the call was sent; {@link
     *     NodeIdentity#UNKNOWN_INCARNATION} if it is not known
     */
    record OutcomeQuery(long requestId, String callId, long incarnation) implements Request {}

    /**
     * Returns the outcome of a call.
     *
     * @param requestId the id of the request
     * @param phase the call's phase
     */
    record OutcomeReply(long requestId, CallPhase phase) implements Reply {}

    /**
     * Requests the configuration.
     *
     * @param requestId the id of the request
     * @param known the version that the sender already has
     */
    record ConfigurationPull(long requestId, ConfigurationVersion known) implements Request {}

    /**
     * Returns the configuration.
     *
     * @param requestId the id of the request
     * @param version its version; {@link ConfigurationVersion#NONE} if the sender has none
     * @param document the catalogue; empty if the requester's is as new
     * @param outages the data centres that are out of service in addition to those named by the
     *     catalogue
     * @param rollouts the objects that hold orders for roll-outs, as JSON; empty if the requester's
     *     are as new
     */
    record ConfigurationReply(
            long requestId,
            ConfigurationVersion version,
            CompressedText document,
            List<String> outages,
            List<String> rollouts)
            implements Reply {
        /** Copies the lists. */
        public ConfigurationReply {
            outages = List.copyOf(outages);
            rollouts = List.copyOf(rollouts);
        }
    }

    /**
     * Sends what the sender knows of the roll-outs and requests what the receiver knows.
     *
     * @param requestId the id of the request
     * @param summaries the roll-outs
     * @param rows the reports of gates that have changed lately
     */
    record RolloutSync(long requestId, List<RolloutSummary> summaries, List<RolloutRow> rows)
            implements Request {
        /** Copies the lists. */
        public RolloutSync {
            summaries = List.copyOf(summaries);
            rows = List.copyOf(rows);
        }
    }

    /**
     * Returns what the receiver of a {@link RolloutSync} knows of the roll-outs.
     *
     * @param requestId the id of the request
     * @param summaries the roll-outs
     * @param rows the reports of gates that have changed lately
     */
    record RolloutSyncReply(long requestId, List<RolloutSummary> summaries, List<RolloutRow> rows)
            implements Reply {
        /** Copies the lists. */
        public RolloutSyncReply {
            summaries = List.copyOf(summaries);
            rows = List.copyOf(rows);
        }
    }

    /**
     * Sends all known members and requests those of the receiver.
     *
     * @param requestId the id of the request
     * @param members the members known to the sender
     */
    record SyncRequest(long requestId, List<Member> members) implements Request {
        /** Copies the members. */
        public SyncRequest {
            members = List.copyOf(members);
        }
    }

    /**
     * Returns all known members.
     *
     * @param requestId the id of the request
     * @param members the members known to the sender
     */
    record SyncReply(long requestId, List<Member> members) implements Reply {
        /** Copies the members. */
        public SyncReply {
            members = List.copyOf(members);
        }
    }

    /**
     * Reports that a call was in service when a target crashed.
     *
     * @param requestId the id of the request
     * @param fingerprint identifies the call when it is sent again
     * @param process the process of the target
     */
    record CrashNotice(long requestId, long fingerprint, String process) implements Request {}

    /**
     * Acknowledges a crash notice.
     *
     * @param requestId the id of the request
     */
    record CrashAck(long requestId) implements Reply {}

    /**
     * Requests an allowance from an owner of an organisation's limit.
     *
     * @param requestId the id of the request
     * @param organisation the name of the organisation
     * @param calls the calls that the sender wants to make
     */
    record QuotaRequest(long requestId, String organisation, int calls) implements Request {}

    /**
     * Grants an allowance.
     *
     * @param requestId the id of the request
     * @param calls the calls that the requester may make; 0 if it may make none
     * @param retryAfterNanos the time after which the owner expects to have more, in nanoseconds
     */
    record QuotaReply(long requestId, int calls, long retryAfterNanos) implements Reply {}

    /**
     * A message of a type that is unknown to this version.
     *
     * @param type the number of the type
     */
    record Unknown(int type) implements PeerMessage {}
}
