package io.bilberrylane.peer;

/** The numbers of message types on the wire; a number is never reused for another type. */
final class MessageType {
    static final int HELLO = 1;
    static final int PING = 2;
    static final int PONG = 3;
    static final int OPEN = 10;
    static final int ADMIT = 11;
    static final int REFUSE = 12;
    static final int HEAD = 13;
    static final int DATA = 14;
    static final int END = 15;
    static final int CREDIT = 16;
    static final int FAIL = 17;
    static final int CANCEL = 18;
    static final int RESPONSE = 19;
    static final int PROBE = 30;
    static final int PROBE_REPLY = 31;
    static final int OUTCOME_QUERY = 32;
    static final int OUTCOME_REPLY = 33;
    static final int CONFIGURATION_PULL = 34;
    static final int CONFIGURATION_REPLY = 35;
    static final int SYNC_REQUEST = 36;
    static final int SYNC_REPLY = 37;
    static final int CRASH_NOTICE = 38;
    static final int CRASH_ACK = 39;
    static final int QUOTA_REQUEST = 44;
    static final int QUOTA_REPLY = 45;
    static final int ROLLOUT_SYNC = 46;
    static final int ROLLOUT_SYNC_REPLY = 47;
    static final int GOSSIP_PING = 50;
    static final int GOSSIP_ACK = 51;
    static final int GOSSIP_PING_REQUEST = 52;

    private MessageType() {}
}
