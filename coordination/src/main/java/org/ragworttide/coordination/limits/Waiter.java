package org.ragworttide.coordination.limits;

import java.util.function.Consumer;

/**
 * One request that waits for its decision.
 *
 * <p>Invariant: it is decided at most once. Not safe for use by several threads.
 */
final class Waiter {
  private static final int MAX_ASKED_PARTS = 2;

  private final long request;
  private final Consumer<LimitDecision> decision;
  private boolean decided;
  private int offset;

  Waiter(long request, Consumer<LimitDecision> decision) {
    this.request = request;
    this.decision = decision;
  }

  long request() {
    return request;
  }

  /** Returns the part of the limit that is to be asked for this request. */
  int part(int parts) {
    return Math.floorMod(request + offset, parts);
  }

  /** Turns to another part; returns whether there is one that was not asked. */
  boolean turnToNextPart(int parts) {
    offset++;
    return offset < Math.min(parts, MAX_ASKED_PARTS);
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
