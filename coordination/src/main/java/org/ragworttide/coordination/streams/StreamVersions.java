package org.ragworttide.coordination.streams;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions that began streams, as one VM remembers them.
 *
 * <p>Invariants: at most {@link #MAX_STREAMS} streams are remembered, those used last; a stream is
 * forgotten {@link #LIFETIME_MILLIS} after its last use. Confined to one thread.
 */
public final class StreamVersions {
  /**
   * Milliseconds for which a stream is remembered: longer than any stream and its caller's wait.
   */
  public static final long LIFETIME_MILLIS = 60_000;

  /** Maximum number of streams: a minute of a VM's own streams and of those that it keeps. */
  private static final int MAX_STREAMS = 16_384;

  private record Remembered(SoftwareVersion version, long usedAtMillis) {}

  private final Map<StreamId, Remembered> streams =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<StreamId, Remembered> eldest) {
          return size() > MAX_STREAMS;
        }
      };

  /** Records the version that began a stream, or began it again before its first event. */
  public void record(StreamId stream, SoftwareVersion version, long nowMillis) {
    streams.put(stream, new Remembered(version, nowMillis));
    removeExpired(nowMillis);
  }

  /** Returns the version that began the stream, empty if it is not remembered. */
  public Optional<SoftwareVersion> find(StreamId stream, long nowMillis) {
    removeExpired(nowMillis);
    Remembered known = streams.get(stream);
    if (known == null) {
      return Optional.empty();
    }
    streams.put(stream, new Remembered(known.version(), nowMillis));
    return Optional.of(known.version());
  }

  private void removeExpired(long nowMillis) {
    var oldest = streams.entrySet().iterator();
    while (oldest.hasNext()
        && nowMillis - oldest.next().getValue().usedAtMillis() > LIFETIME_MILLIS) {
      oldest.remove();
    }
  }
}
