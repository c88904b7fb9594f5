package org.ragworttide.coordination.message;

/**
 * Messages of the groups of voters and their hand-over.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface GroupMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements GroupMessage {}
}
