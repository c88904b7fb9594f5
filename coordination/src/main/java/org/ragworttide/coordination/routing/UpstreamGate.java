package org.ragworttide.coordination.routing;

import java.util.List;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Holds requests back from single upstreams, such as cold or failing ones.
 *
 * <p>Invariant: each successful {@link #tryEnter} or {@link #tryEnterWithoutAsking} is followed by
 * one {@link #leave}. Confined to the coordination thread.
 */
public interface UpstreamGate {

  /** Admits all requests. */
  UpstreamGate OPEN = all(List.of());

  /** Takes a place at the upstream, or asks for one elsewhere if this daemon has none. */
  boolean tryEnter(UpstreamId upstream);

  /** Takes a place at the upstream if this daemon has one; asks for none. */
  default boolean tryEnterWithoutAsking(UpstreamId upstream) {
    return tryEnter(upstream);
  }

  /** Gives the place at the upstream back. */
  void leave(UpstreamId upstream);

  /**
   * Tells whether it is being asked elsewhere if the upstream has a place, so that waiting for the
   * answer beats another upstream that knows nothing of the chat.
   */
  default boolean isDeciding(UpstreamId upstream) {
    return false;
  }

  /** Returns a gate that admits what all the given gates admit. */
  static UpstreamGate all(List<? extends UpstreamGate> gates) {
    return new CombinedGate(gates);
  }
}
