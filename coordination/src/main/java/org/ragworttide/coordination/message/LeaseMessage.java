package org.ragworttide.coordination.message;

/**
 * Messages of the majority lease.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface LeaseMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements LeaseMessage {}
}
