package org.ragworttide.coordination.orders;

import java.util.function.Consumer;
import org.ragworttide.coordination.limits.LimitDecision;

/**
 * Decides fleet-wide whether one artifact may be fetched from the weight store now.
 *
 * <p>Invariant: a permit that is not used immediately is lost. Called on the coordination thread
 * only.
 */
@FunctionalInterface
public interface FetchPermits {

  /**
   * Requests one permit.
   *
   * @param requestId unique name of the fetch
   * @param decision receives the decision once, within a bounded time
   */
  void acquire(String requestId, Consumer<LimitDecision> decision);
}
