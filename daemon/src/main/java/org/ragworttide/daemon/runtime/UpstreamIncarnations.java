package org.ragworttide.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Records the last reported incarnation of each engine, so that crashes of one engine can be
 * distinguished.
 *
 * <p>Confined to the coordination thread.
 */
final class UpstreamIncarnations {
  private final Map<UpstreamId, Long> incarnations = new HashMap<>();

  void record(UpstreamId upstream, long incarnation) {
    incarnations.put(upstream, incarnation);
  }

  String lastReported(UpstreamId upstream) {
    return Long.toHexString(incarnations.getOrDefault(upstream, 0L));
  }
}
