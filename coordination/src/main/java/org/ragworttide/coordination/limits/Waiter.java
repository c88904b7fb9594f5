package org.ragworttide.coordination.limits;

import java.util.Optional;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.VmId;

/**
 * One request that waits for its decision.
 *
 * <p>Invariant: it is decided at most once. Not safe for use by several threads.
 */
final class Waiter {
  private static final int MAX_ASKED_PARTS = 2;
  private static final int MAX_ASKED_LENDERS = 3;

  private final long request;
  private final Consumer<LimitDecision> decision;
  private boolean decided;
  private int offset;
  private int askedLenders;
  private VmId lender;
  private LimitDecision.Refused refusal;

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

  /** Returns the VM whose reserve is asked, if the owners of the parts could not serve it. */
  Optional<VmId> lender() {
    return Optional.ofNullable(lender);
  }

  /** Returns whether one more VM may be asked for a token of its reserve. */
  boolean mayBorrow() {
    return askedLenders < MAX_ASKED_LENDERS;
  }

  void turnTo(VmId newLender) {
    lender = newLender;
    askedLenders++;
  }

  /** Keeps why the request would be refused; the first cause counts. */
  void keep(LimitDecision.Refused latest) {
    if (refusal == null) {
      refusal = latest;
    }
  }

  /** Returns why the request would be refused, if a lender was asked. */
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
