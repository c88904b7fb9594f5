package org.ragworttide.coordination.routing;

import java.util.List;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Limits the requests that may be sent to individual upstreams, such as cold or failing ones.
 *
 * <p>Invariant: each successful {@link #tryEnter} or {@link #tryEnterLocally} is followed by one
 * {@link #leave}. Confined to the coordination thread.
 */
public interface UpstreamGate {

  /** Admits all requests. */
  UpstreamGate OPEN = all(List.of());

  /**
   * Tries to take a place at the upstream and returns whether it has one. A gate that needs a
   * permit for the place requests one from the upstream's owner when it returns false.
   */
  boolean tryEnter(UpstreamId upstream);

  /**
   * Tries to take a place at the upstream and returns whether it has one, without a request to the
   * owner.
   */
  default boolean tryEnterLocally(UpstreamId upstream) {
    return tryEnter(upstream);
  }

  /** Releases the place at the upstream. */
  void leave(UpstreamId upstream);

  /**
   * Returns whether a request for a place at the upstream is pending, so that waiting for the
   * answer is better than another upstream that holds nothing of the chat.
   */
  default boolean isAwaitingPermit(UpstreamId upstream) {
    return false;
  }

  /** Returns a gate that admits a request if all the given gates admit it. */
  static UpstreamGate all(List<? extends UpstreamGate> gates) {
    return new CombinedGate(gates);
  }
}
