package org.ragworttide.coordination.placement;

import java.util.List;

/** Filters candidates so that cold upstreams receive few requests; stateless. */
final class ColdStartFilter {

  private ColdStartFilter() {}

  /** Returns the warm candidates, or the cold ones that admit a request if none is warm. */
  static List<UpstreamLoad> preferWarm(List<UpstreamLoad> candidates, long nowMillis) {
    List<UpstreamLoad> warm =
        candidates.stream().filter(it -> !it.coldAllowance().isCold(nowMillis)).toList();
    if (!warm.isEmpty()) {
      return warm;
    }
    return admitting(candidates, nowMillis);
  }

  /** Returns the candidates that are warm and the cold ones that still admit a request. */
  static List<UpstreamLoad> admitting(List<UpstreamLoad> candidates, long nowMillis) {
    return candidates.stream().filter(it -> it.coldAllowance().admits(nowMillis)).toList();
  }
}
