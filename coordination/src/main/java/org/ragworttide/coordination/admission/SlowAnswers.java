package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Tells which answers are slow: those of engines by what all engines need, those of an upstream
 * without load reports by what it needs itself.
 *
 * <p>Invariant: an answer that begins within the floor is not slow, however quick the others are.
 * Confined to the coordination thread.
 */
final class SlowAnswers {
  private static final long FLOOR_MILLIS = 500;

  private final double slowFactor;
  private final FirstTokenMonitor engines;
  private final Map<UpstreamId, FirstTokenMonitor> others = new HashMap<>();

  SlowAnswers(double slowFactor) {
    this.slowFactor = slowFactor;
    this.engines = new FirstTokenMonitor(slowFactor, FLOOR_MILLIS);
  }

  /** Forgets all upstreams without load reports but these. */
  void retainAll(Set<UpstreamId> upstreams) {
    others.keySet().retainAll(upstreams);
  }

  /** Takes the time until an answer began and tells whether it is slow. */
  boolean isSlow(UpstreamId upstream, boolean unreported, long firstTokenMillis) {
    FirstTokenMonitor monitor =
        unreported
            ? others.computeIfAbsent(
                upstream, id -> new FirstTokenMonitor(slowFactor, FLOOR_MILLIS))
            : engines;
    return monitor.isSlow(firstTokenMillis);
  }
}
