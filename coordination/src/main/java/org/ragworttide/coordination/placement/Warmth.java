package org.ragworttide.coordination.placement;

import java.util.List;

/** Keeps requests away from cold upstreams while there are warm ones; stateless. */
final class Warmth {

  private Warmth() {}

  /** Returns the warm candidates or, if there is none, the cold ones that admit a request. */
  static List<UpstreamLoad> preferWarm(List<UpstreamLoad> candidates, long nowMillis) {
    List<UpstreamLoad> warm =
        candidates.stream().filter(it -> !it.cold().isCold(nowMillis)).toList();
    if (!warm.isEmpty()) {
      return warm;
    }
    return admitting(candidates, nowMillis);
  }

  /** Returns the candidates that are warm or, being cold, still admit a request. */
  static List<UpstreamLoad> admitting(List<UpstreamLoad> candidates, long nowMillis) {
    return candidates.stream().filter(it -> it.cold().admits(nowMillis)).toList();
  }
}
