package org.ragworttide.coordination.orders;

import java.util.function.Consumer;
import org.ragworttide.coordination.limits.LimitDecision;

/**
 * Decides over all daemons whether one artifact may be fetched from the weight store now.
 *
 * <p>Invariant: a permit that is not used at once is lost. Called on the coordination thread only.
 */
@FunctionalInterface
public interface FetchPermits {

  /**
   * Asks for one permit.
   *
   * @param requestId names the fetch, different for each
   * @param decision told once, within a bounded time
   */
  void acquire(String requestId, Consumer<LimitDecision> decision);
}
