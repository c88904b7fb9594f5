package org.ragworttide.coordination.orders;

import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.RateLimit;

/**
 * Goals and limits that a configuration version sets for orders to engines.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param version the configuration version, which is the fencing number of its orders
 * @param goals goals of the engines that accept orders
 * @param weightStore fleet-wide rate limit of artifact fetches; empty if no artifact may be fetched
 */
public record OrderPolicy(
    long version, Map<UpstreamId, EngineGoal> goals, Optional<RateLimit> weightStore) {
  /** Policy under which no engine accepts orders. */
  public static final OrderPolicy NONE = new OrderPolicy(0, Map.of(), Optional.empty());

  /** Copies the goals. */
  public OrderPolicy {
    goals = Map.copyOf(goals);
  }
}
