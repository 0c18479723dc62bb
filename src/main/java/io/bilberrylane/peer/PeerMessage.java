package io.bilberrylane.peer;

import io.bilberrylane.base.ErrorCode;
import io.bilberrylane.membership.ConfigurationVersion;
import io.bilberrylane.membership.Member;
import io.bilberrylane.outcome.CallPhase;
import io.bilberrylane.policy.TargetLoad;
import java.util.List;

/** A message between two nodes. */
public sealed interface PeerMessage {
    /** The version of the protocol that this program speaks. */
    int PROTOCOL_VERSION = 1;

    /** A message that belongs to one call. */
    sealed interface StreamMessage extends PeerMessage {
        /**
         * Returns the stream of the call, unique within a link.
         *
         * @return the stream's number
         */
        int streamId();
    }

    /**
     * First message on a link, both ways.
     *
     * @param protocolVersion the sender's newest version
     * @param host the sender's host name
     * @param incarnation the start of the sender's process, in milliseconds since 1970
     */
    record Hello(int protocolVersion, String host, long incarnation) implements PeerMessage {}

    /**
     * Asks whether the link is alive.
     *
     * @param nonce repeated in the answer
     */
    record Ping(long nonce) implements PeerMessage {}

    /**
     * Answers a ping.
     *
     * @param nonce that of the ping
     */
    record Pong(long nonce) implements PeerMessage {}

    /**
     * Opens a call.
     *
     * @param streamId the new stream
     * @param head the call
     */
    record Open(int streamId, CallHead head) implements StreamMessage {}

    /**
     * The call holds a slot.
     *
     * @param streamId the stream
     * @param load the gate's load
     */
    record Admit(int streamId, TargetLoad load) implements StreamMessage {}

    /**
     * The call was not run.
     *
     * @param streamId the stream
     * @param refusal why
     * @param load the gate's load
     */
    record Refuse(int streamId, Refusal refusal, TargetLoad load) implements StreamMessage {}

    /**
     * The answer begins.
     *
     * @param streamId the stream
     * @param head status and headers
     */
    record Head(int streamId, ResponseHead head) implements StreamMessage {}

    /**
     * A part of a body.
     *
     * @param streamId the stream
     * @param bytes the part
     */
    record Data(int streamId, byte[] bytes) implements StreamMessage {}

    /**
     * The body is complete.
     *
     * @param streamId the stream
     * @param load the gate's load when the gate sends it, else {@link TargetLoad#ABSENT}
     */
    record End(int streamId, TargetLoad load) implements StreamMessage {}

    /**
     * More of a body may be sent.
     *
     * @param streamId the stream
     * @param bytes additional credit in bytes
     */
    record Credit(int streamId, int bytes) implements StreamMessage {}

    /**
     * The call failed after its admission.
     *
     * @param streamId the stream
     * @param code why
     * @param phase what is known of the run
     */
    record Fail(int streamId, ErrorCode code, CallPhase phase) implements StreamMessage {}

    /**
     * The caller gave the call up.
     *
     * @param streamId the stream
     */
    record Cancel(int streamId) implements StreamMessage {}

    /** A question that expects one answer with the same number. */
    sealed interface Request extends PeerMessage {
        /**
         * Returns the number of the question, unique within a link.
         *
         * @return the number
         */
        long requestId();
    }

    /** The answer to a {@link Request}. */
    sealed interface Reply extends PeerMessage {
        /**
         * Returns the number of the question.
         *
         * @return the number
         */
        long requestId();
    }

    /**
     * Asks for a gate's load.
     *
     * @param requestId the question
     */
    record Probe(long requestId) implements Request {}

    /**
     * Tells a gate's load.
     *
     * @param requestId the question
     * @param load the load
     */
    record ProbeReply(long requestId, TargetLoad load) implements Reply {}

    /**
     * Asks what became of a call; an unseen call can never start afterwards.
     *
     * @param requestId the question
     * @param callId the call
     */
    record OutcomeQuery(long requestId, String callId) implements Request {}

    /**
     * Tells what became of a call.
     *
     * @param requestId the question
     * @param phase the call's phase
     */
    record OutcomeReply(long requestId, CallPhase phase) implements Reply {}

    /**
     * Asks for the configuration.
     *
     * @param requestId the question
     * @param known the version that the sender holds
     */
    record ConfigurationPull(long requestId, ConfigurationVersion known) implements Request {}

    /**
     * Carries the configuration.
     *
     * @param requestId the question
     * @param version its version; NONE when the sender has none
     * @param document the catalogue, or empty when the asker's is as new
     * @param outages the data centres that are out besides those of the catalogue
     */
    record ConfigurationReply(
            long requestId,
            ConfigurationVersion version,
            CompressedText document,
            List<String> outages)
            implements Reply {
        /** Copies the names. */
        public ConfigurationReply {
            outages = List.copyOf(outages);
        }
    }

    /**
     * Offers all known members and asks for the other's.
     *
     * @param requestId the question
     * @param members the sender's view
     */
    record SyncRequest(long requestId, List<Member> members) implements Request {
        /** Copies the members. */
        public SyncRequest {
            members = List.copyOf(members);
        }
    }

    /**
     * Tells all known members.
     *
     * @param requestId the question
     * @param members the sender's view
     */
    record SyncReply(long requestId, List<Member> members) implements Reply {
        /** Copies the members. */
        public SyncReply {
            members = List.copyOf(members);
        }
    }

    /**
     * Tells that a call was in service when a target crashed.
     *
     * @param requestId the question
     * @param fingerprint what tells the call from others when it comes again
     * @param process the target's process
     */
    record CrashNotice(long requestId, long fingerprint, String process) implements Request {}

    /**
     * Says that a crash was taken note of.
     *
     * @param requestId the question
     */
    record CrashAck(long requestId) implements Reply {}

    /**
     * A message of a type that this version does not know.
     *
     * @param type the type's number
     */
    record Unknown(int type) implements PeerMessage {}
}
