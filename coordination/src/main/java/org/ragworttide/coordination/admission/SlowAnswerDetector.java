package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Detector of slow answers: compares an engine with all engines, and an upstream without load
 * reports with its own earlier answers.
 *
 * <p>Invariant: an answer that begins within {@link #FLOOR_MILLIS} is not slow, however quick the
 * other answers are. Confined to the coordination thread.
 */
final class SlowAnswerDetector {
  private static final long FLOOR_MILLIS = 500;

  private final double slowFactor;
  private final FirstTokenMonitor engineMonitor;
  private final Map<UpstreamId, FirstTokenMonitor> unreportedMonitors = new HashMap<>();

  SlowAnswerDetector(double slowFactor) {
    this.slowFactor = slowFactor;
    this.engineMonitor = new FirstTokenMonitor(slowFactor, FLOOR_MILLIS);
  }

  /** Removes the monitors of all upstreams without load reports except the given ones. */
  void retainAll(Set<UpstreamId> upstreams) {
    unreportedMonitors.keySet().retainAll(upstreams);
  }

  /** Records the time until an answer began and returns whether it is slow. */
  boolean isSlow(UpstreamId upstream, boolean unreported, long firstTokenMillis) {
    FirstTokenMonitor monitor =
        unreported
            ? unreportedMonitors.computeIfAbsent(
                upstream, id -> new FirstTokenMonitor(slowFactor, FLOOR_MILLIS))
            : engineMonitor;
    return monitor.isSlow(firstTokenMillis);
  }
}
