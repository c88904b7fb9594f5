package org.ragworttide.coordination.limits;

import java.util.Optional;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.VmId;

/**
 * Request that waits for its decision.
 *
 * <p>Invariant: a request is decided at most once. Not safe for use by several threads.
 */
final class Waiter {
  private static final int MAX_TRIED_PARTS = 2;
  private static final int MAX_TRIED_LENDERS = 3;

  private final long request;
  private final Consumer<LimitDecision> decision;
  private boolean decided;
  private int partOffset;
  private int triedLenders;
  private VmId lender;
  private LimitDecision.Refused refusal;

  Waiter(long request, Consumer<LimitDecision> decision) {
    this.request = request;
    this.decision = decision;
  }

  long request() {
    return request;
  }

  /** Returns the index of the part from which a token is requested. */
  int partIndex(int parts) {
    return Math.floorMod(request + partOffset, parts);
  }

  /** Selects the next part; returns whether it may be tried for this request. */
  boolean selectNextPart(int parts) {
    partOffset++;
    return partOffset < Math.min(parts, MAX_TRIED_PARTS);
  }

  /**
   * Returns the VM from whose reserve the request borrows, if the owners of the parts could not
   * serve it.
   */
  Optional<VmId> lender() {
    return Optional.ofNullable(lender);
  }

  /** Returns whether one more lender may be tried. */
  boolean canBorrow() {
    return triedLenders < MAX_TRIED_LENDERS;
  }

  void selectLender(VmId newLender) {
    lender = newLender;
    triedLenders++;
  }

  /** Records the refusal to report if borrowing fails; only the first one is kept. */
  void recordRefusal(LimitDecision.Refused latest) {
    if (refusal == null) {
      refusal = latest;
    }
  }

  /** Returns the recorded refusal, if a lender was selected. */
  Optional<LimitDecision.Refused> firstRefusal() {
    return Optional.ofNullable(refusal);
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
