package org.ragworttide.coordination.versions;

import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.VersionMessage.Announce;

/**
 * Fetches a whole document from one peer in chunks.
 *
 * <p>Invariant: a document is returned only if its digest is the announced one. Not safe for use by
 * several threads.
 */
final class ChunkFetch {
  static final int CHUNK_BYTES = 1_024;
  static final int MAX_DOCUMENT_BYTES = 1 << 20;

  private final VmId source;
  private final Announce announced;
  private final byte[] document;
  private int receivedBytes;
  private long progressMillis;

  ChunkFetch(VmId source, Announce announced, long nowMillis) {
    this.source = source;
    this.announced = announced;
    this.document = new byte[announced.lengthBytes()];
    this.progressMillis = nowMillis;
  }

  VmId source() {
    return source;
  }

  long version() {
    return announced.version();
  }

  int receivedBytes() {
    return receivedBytes;
  }

  boolean isComplete() {
    return receivedBytes == document.length;
  }

  boolean isStalled(long nowMillis, long stallTimeoutMillis) {
    return nowMillis - progressMillis > stallTimeoutMillis;
  }

  /** Adds a chunk and returns whether it was the expected next one. */
  boolean addChunk(VmId from, long version, int offset, byte[] content, long nowMillis) {
    if (!from.equals(source)
        || version != announced.version()
        || offset != receivedBytes
        || content.length == 0
        || content.length > document.length - receivedBytes) {
      return false;
    }
    System.arraycopy(content, 0, document, offset, content.length);
    receivedBytes += content.length;
    progressMillis = nowMillis;
    return true;
  }

  /** Returns the complete document, if its digest is the announced one. */
  Optional<byte[]> verified() {
    return DocumentDigest.of(document).equals(announced.digest())
        ? Optional.of(document)
        : Optional.empty();
  }
}
