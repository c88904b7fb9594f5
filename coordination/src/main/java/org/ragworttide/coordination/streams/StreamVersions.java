package org.ragworttide.coordination.streams;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
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
    if (known == null || nowMillis - known.usedAtMillis() > LIFETIME_MILLIS) {
      return Optional.empty();
    }
    streams.put(stream, new Remembered(known.version(), nowMillis));
    return Optional.of(known.version());
  }

  /**
   * Records what another VM remembers of a stream, unless this VM remembers it itself: a VM knows
   * the streams that it began best.
   */
  public void recordRemembered(RememberedStream remembered, long nowMillis) {
    if (remembered.unusedMillis() <= LIFETIME_MILLIS) {
      streams.putIfAbsent(
          remembered.stream(),
          new Remembered(remembered.version(), nowMillis - remembered.unusedMillis()));
    }
  }

  /** Returns the remembered streams, which does not count as their use. */
  public List<RememberedStream> all(long nowMillis) {
    removeExpired(nowMillis);
    List<RememberedStream> all = new ArrayList<>(streams.size());
    streams.forEach(
        (stream, known) ->
            all.add(
                new RememberedStream(stream, known.version(), nowMillis - known.usedAtMillis())));
    return all;
  }

  private void removeExpired(long nowMillis) {
    var oldest = streams.entrySet().iterator();
    while (oldest.hasNext()
        && nowMillis - oldest.next().getValue().usedAtMillis() > LIFETIME_MILLIS) {
      oldest.remove();
    }
  }
}
