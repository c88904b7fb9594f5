package org.ragworttide.coordination.limits;

import java.util.function.Consumer;

/**
 * One request that waits for its decision.
 *
 * <p>Invariant: it is decided at most once. Not safe for use by several threads.
 */
final class Waiter {
  private final long request;
  private final Consumer<LimitDecision> decision;
  private boolean decided;

  Waiter(long request, Consumer<LimitDecision> decision) {
    this.request = request;
    this.decision = decision;
  }

  long request() {
    return request;
  }

  boolean isDecided() {
    return decided;
  }

  void decide(LimitDecision outcome) {
    if (!decided) {
      decided = true;
      decision.accept(outcome);
    }
  }
}
