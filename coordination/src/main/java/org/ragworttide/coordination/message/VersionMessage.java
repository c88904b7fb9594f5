package org.ragworttide.coordination.message;

import java.util.List;
import org.ragworttide.coordination.versions.DocumentDelta;
import org.ragworttide.coordination.versions.DocumentDigest;

/**
 * Messages of the spread of configuration versions.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface VersionMessage extends PeerMessage {

  /**
   * Tells the version in force at the sender and asks for the receiver's.
   *
   * @param knownVersion the version in force, zero for none
   */
  record Query(long knownVersion) implements VersionMessage {}

  /**
   * Tells the version in force at the sender.
   *
   * @param version the version in force, zero for none
   * @param digest digest of its document
   * @param lengthBytes length of its document
   * @param deltas a chain of changes that ends at the version, oldest first; may be empty
   */
  record Announce(long version, DocumentDigest digest, int lengthBytes, List<DocumentDelta> deltas)
      implements VersionMessage {

    /** Copies the list. */
    public Announce {
      deltas = List.copyOf(deltas);
    }
  }

  /**
   * Asks for a part of a document.
   *
   * @param version the document's version
   * @param offset where the part starts
   */
  record ChunkRequest(long version, int offset) implements VersionMessage {}

  /**
   * Carries a part of a document.
   *
   * @param version the document's version
   * @param offset where the part starts
   * @param content the part; not to be changed
   */
  record Chunk(long version, int offset, byte[] content) implements VersionMessage {}

  /** Asks the receiver to read the platform's service in the sender's place for a while. */
  record Cover() implements VersionMessage {}
}
