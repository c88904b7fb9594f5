package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * Filters candidates so that cold upstreams and those that name a limit receive few requests, and
 * those that are leaving or want a pause none; stateless.
 */
final class AdmissionFilter {

  private AdmissionFilter() {}

  /** Returns the warm candidates, or the cold ones if none is warm, that admit a request. */
  static List<UpstreamLoad> preferWarm(List<UpstreamLoad> candidates, long nowMillis) {
    List<UpstreamLoad> open = admitting(candidates, nowMillis);
    List<UpstreamLoad> warm =
        open.stream().filter(it -> !it.coldAllowance().isCold(nowMillis)).toList();
    return warm.isEmpty() ? open : warm;
  }

  /**
   * Returns the candidates that admit a request. If none does, those that have begun to leave only
   * lately are returned, which still serve requests.
   */
  static List<UpstreamLoad> admitting(List<UpstreamLoad> candidates, long nowMillis) {
    List<UpstreamLoad> open =
        candidates.stream()
            .filter(it -> it.coldAllowance().admits(nowMillis))
            .filter(it -> it.availability().admits(nowMillis))
            .toList();
    return open.isEmpty()
        ? candidates.stream()
            .filter(it -> it.coldAllowance().admits(nowMillis))
            .filter(it -> it.availability().admitsAsLastResort(nowMillis))
            .toList()
        : open;
  }
}
