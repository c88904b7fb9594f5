package org.ragworttide.coordination.message;

/**
 * Message between daemons; each subtype groups the messages of one topic.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface PeerMessage
    permits MembershipMessage,
        GroupMessage,
        LeaseMessage,
        ClaimMessage,
        LimitMessage,
        VersionMessage,
        QuarantineMessage,
        AdmissionMessage {}
