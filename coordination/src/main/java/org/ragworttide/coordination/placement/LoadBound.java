package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * How many requests an engine may hold against the mean of its service.
 *
 * <p>Rules forbid twice the mean and three; what is left of that is for what other VMs send between
 * two statements. Immutable, safe for use by any thread.
 *
 * @param multiple multiple of the mean
 * @param slack requests above the multiple, for small means
 */
record LoadBound(double multiple, int slack) {

  /** Returns the bound before the engines. */
  double requests(List<UpstreamLoad> engines, long nowMillis) {
    int sum = 0;
    for (UpstreamLoad engine : engines) {
      sum += engine.estimate(nowMillis);
    }
    return multiple * sum / engines.size() + slack;
  }
}
