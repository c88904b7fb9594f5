package org.ragworttide.coordination.message;

/**
 * Messages of the admission to cold upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface AdmissionMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements AdmissionMessage {}
}
