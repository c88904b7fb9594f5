package org.ragworttide.coordination.message;

/**
 * Messages of the membership view.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface MembershipMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements MembershipMessage {}
}
