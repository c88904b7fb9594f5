package org.ragworttide.coordination.message;

/**
 * Messages of the spread of configuration versions.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface VersionMessage extends PeerMessage {

  /** Probes a peer without asking for anything. */
  record Ping() implements VersionMessage {}
}
