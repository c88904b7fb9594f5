package org.ragworttide.fakes;

import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Named document of the fake platform with its earlier versions, which it can serve as stale reads.
 *
 * <p>Invariant: versions strictly increase. Safe for use by any thread.
 */
final class Published {
  private static final int KEPT_VERSIONS = 64;

  /**
   * A document at one version.
   *
   * @param version its version
   * @param body its bytes
   */
  record Version(long version, byte[] body) {}

  private final NavigableMap<Long, Version> versions = new TreeMap<>();
  private final Sinks.Many<Long> changes = Sinks.many().replay().latest();
  private OptionalLong staleVersion = OptionalLong.empty();

  synchronized long publish(long version, byte[] body) {
    if (!versions.isEmpty() && version <= versions.lastKey()) {
      throw new IllegalArgumentException("version must exceed " + versions.lastKey());
    }
    versions.put(version, new Version(version, body));
    if (versions.size() > KEPT_VERSIONS) {
      versions.pollFirstEntry();
    }
    changes.tryEmitNext(version);
    return version;
  }

  synchronized long publishNext(byte[] body) {
    return publish(nextVersion(), body);
  }

  synchronized long nextVersion() {
    return versions.isEmpty() ? 1 : versions.lastKey() + 1;
  }

  /** Serves the given version despite later publications; 0 serves the newest again. */
  synchronized void serveStale(long version) {
    staleVersion = version == 0 ? OptionalLong.empty() : OptionalLong.of(version);
    changes.tryEmitNext(version);
  }

  /** Returns the version that a read returns, or null before the first publication. */
  synchronized Version current() {
    if (versions.isEmpty()) {
      return null;
    }
    Version newest = versions.lastEntry().getValue();
    return staleVersion.isEmpty()
        ? newest
        : versions.getOrDefault(staleVersion.getAsLong(), newest);
  }

  Flux<Long> changes() {
    return changes.asFlux();
  }
}
