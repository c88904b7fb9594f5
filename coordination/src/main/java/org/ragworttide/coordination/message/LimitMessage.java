package org.ragworttide.coordination.message;

/**
 * Messages of the fleet-wide rates.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface LimitMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements LimitMessage {}
}
