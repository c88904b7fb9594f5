package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * Maximum number of requests at an engine, relative to the mean of its service.
 *
 * <p>The load of an engine must not exceed twice the mean plus three. The bounds in use are lower
 * than that, because other VMs also send requests between two of their load statements. Engines
 * that receive no requests, for example in an evacuated zone, lower the mean, so that the others
 * have to share their load more evenly. Immutable, safe for use by any thread.
 *
 * @param multiple multiple of the mean
 * @param slack requests that are added to the multiple, for small means
 */
record LoadBound(double multiple, int slack) {

  /**
   * Returns the maximum number of requests at any of the engines.
   *
   * @param engines all engines of the service, also those that receive no requests
   * @param nowMillis the time
   */
  double maxRequests(List<UpstreamLoad> engines, long nowMillis) {
    int sum = 0;
    for (UpstreamLoad engine : engines) {
      sum += engine.estimatedRequests(nowMillis);
    }
    return multiple * sum / engines.size() + slack;
  }
}
