package org.ragworttide.coordination.streams;

/**
 * What a VM remembers of a stream. Immutable, safe for use by any thread.
 *
 * @param stream the stream
 * @param version the version that began it
 * @param unusedMillis milliseconds since it was last used, not negative
 */
public record RememberedStream(StreamId stream, SoftwareVersion version, long unusedMillis) {

  /** Checks the range. */
  public RememberedStream {
    if (unusedMillis < 0) {
      throw new IllegalArgumentException("unusedMillis is negative");
    }
  }
}
