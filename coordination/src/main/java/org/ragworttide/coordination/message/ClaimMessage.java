package org.ragworttide.coordination.message;

/**
 * Messages of the claims on non-idempotent requests.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface ClaimMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements ClaimMessage {}
}
