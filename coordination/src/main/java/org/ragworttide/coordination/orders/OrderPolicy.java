package org.ragworttide.coordination.orders;

import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.RateLimit;

/**
 * What a configuration version lays down for orders to engines.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param version the configuration version, which is the fencing number of its orders
 * @param goals the engines that take orders
 * @param weightStore how many artifacts may be fetched, fleet-wide; empty if none may
 */
public record OrderPolicy(
    long version, Map<UpstreamId, EngineGoal> goals, Optional<RateLimit> weightStore) {
  /** No engine takes orders. */
  public static final OrderPolicy NONE = new OrderPolicy(0, Map.of(), Optional.empty());

  /** Copies the goals. */
  public OrderPolicy {
    goals = Map.copyOf(goals);
  }
}
