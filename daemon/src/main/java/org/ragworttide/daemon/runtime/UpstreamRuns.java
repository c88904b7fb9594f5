package org.ragworttide.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Remembers which run of each engine was reported last, to tell its deaths apart.
 *
 * <p>Confined to the coordination thread.
 */
final class UpstreamRuns {
  private final Map<UpstreamId, Long> incarnations = new HashMap<>();

  void reported(UpstreamId upstream, long incarnation) {
    incarnations.put(upstream, incarnation);
  }

  String of(UpstreamId upstream) {
    return Long.toHexString(incarnations.getOrDefault(upstream, 0L));
  }
}
