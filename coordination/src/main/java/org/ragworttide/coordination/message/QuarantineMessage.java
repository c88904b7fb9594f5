package org.ragworttide.coordination.message;

/**
 * Messages of the quarantine of requests that crash upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface QuarantineMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements QuarantineMessage {}
}
