package org.ragworttide.coordination.message;

import java.util.List;
import org.ragworttide.coordination.versions.DocumentDelta;
import org.ragworttide.coordination.versions.DocumentDigest;

/**
 * Messages about the propagation of configuration versions.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface VersionMessage extends PeerMessage {

  /**
   * Reports the version in force at the sender and requests that of the receiver.
   *
   * @param knownVersion the version in force, zero for none
   */
  record Query(long knownVersion) implements VersionMessage {}

  /**
   * Reports the version in force at the sender.
   *
   * @param version the version in force, zero for none
   * @param digest digest of its document
   * @param lengthBytes length of its document
   * @param deltas a chain of deltas that ends at the version, oldest first; may be empty
   */
  record Announce(long version, DocumentDigest digest, int lengthBytes, List<DocumentDelta> deltas)
      implements VersionMessage {

    /** Copies the list. */
    public Announce {
      deltas = List.copyOf(deltas);
    }
  }

  /**
   * Requests a chunk of a document.
   *
   * @param version the document's version
   * @param offset offset at which the chunk starts
   */
  record ChunkRequest(long version, int offset) implements VersionMessage {}

  /**
   * Carries a chunk of a document.
   *
   * @param version the document's version
   * @param offset offset at which the chunk starts
   * @param content the bytes of the chunk; must not be modified
   */
  record Chunk(long version, int offset, byte[] content) implements VersionMessage {}

  /** Requests that the receiver temporarily read the platform's service in place of the sender. */
  record Cover() implements VersionMessage {}
}
