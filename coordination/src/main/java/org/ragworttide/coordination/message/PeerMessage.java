package org.ragworttide.coordination.message;

/**
 * A message between daemons, by topic.
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
