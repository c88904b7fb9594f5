package org.ragworttide.coordination.versions;

import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.VersionMessage.Announce;

/**
 * Collects a whole document from one peer, part by part.
 *
 * <p>Invariant: a document is only returned when its digest is the announced one. Not safe for use
 * by several threads.
 */
final class ChunkFetch {
  static final int CHUNK_BYTES = 1_024;
  static final int MAX_DOCUMENT_BYTES = 1 << 20;

  private final VmId source;
  private final Announce wanted;
  private final byte[] document;
  private int received;
  private long progressMillis;

  ChunkFetch(VmId source, Announce wanted, long nowMillis) {
    this.source = source;
    this.wanted = wanted;
    this.document = new byte[wanted.lengthBytes()];
    this.progressMillis = nowMillis;
  }

  VmId source() {
    return source;
  }

  long version() {
    return wanted.version();
  }

  int received() {
    return received;
  }

  boolean isComplete() {
    return received == document.length;
  }

  boolean isStuck(long nowMillis, long patienceMillis) {
    return nowMillis - progressMillis > patienceMillis;
  }

  /** Takes in the next part; returns whether it fitted. */
  boolean add(VmId from, long version, int offset, byte[] content, long nowMillis) {
    if (!from.equals(source)
        || version != wanted.version()
        || offset != received
        || content.length == 0
        || content.length > document.length - received) {
      return false;
    }
    System.arraycopy(content, 0, document, offset, content.length);
    received += content.length;
    progressMillis = nowMillis;
    return true;
  }

  /** Returns the complete document, if it is the announced one. */
  Optional<byte[]> verified() {
    return DocumentDigest.of(document).equals(wanted.digest())
        ? Optional.of(document)
        : Optional.empty();
  }
}
