package org.ragworttide.coordination.routing;

import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Read-only view of a router's state for metrics and explanations.
 *
 * <p>Invariant: reading changes nothing. Confined to the coordination thread.
 */
public final class RoutingView {
  private final RoutingState state;

  RoutingView(RoutingState state) {
    this.state = state;
  }

  /** Returns the number of this daemon's requests in flight at the upstream. */
  public int inFlight(UpstreamId upstream) {
    return Optional.ofNullable(state.tracker(upstream)).map(UpstreamTracker::inFlight).orElse(0);
  }

  /** Returns whether the upstream accepts new work. */
  public boolean isOpen(UpstreamId upstream) {
    return Optional.ofNullable(state.tracker(upstream)).map(UpstreamTracker::isOpen).orElse(false);
  }

  /** Returns how many input facts were ignored for the reason. */
  public long ignored(IgnoredFact reason) {
    return state.ignored(reason);
  }
}
