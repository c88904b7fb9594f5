package org.ragworttide.coordination.orders;

import java.util.Objects;

/**
 * Configuration of one engine that accepts orders.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param wanted the wanted state of the engine
 * @param checksFencing whether the engine refuses an order with an old fencing number
 */
public record EngineGoal(WantedState wanted, boolean checksFencing) {

  /** Checks that nothing is missing. */
  public EngineGoal {
    Objects.requireNonNull(wanted, "wanted");
  }
}
