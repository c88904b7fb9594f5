package org.ragworttide.coordination.routing;

import java.util.List;
import java.util.function.Predicate;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Gate that admits a request if all of its gates admit it.
 *
 * <p>Invariant: when one gate refuses, no place remains taken at another gate. Confined to the
 * coordination thread.
 */
final class CombinedGate implements UpstreamGate {
  private final List<UpstreamGate> gates;

  CombinedGate(List<? extends UpstreamGate> gates) {
    this.gates = List.copyOf(gates);
  }

  @Override
  public boolean tryEnter(UpstreamId upstream) {
    return enterAll(upstream, gate -> gate.tryEnter(upstream));
  }

  @Override
  public boolean tryEnterLocally(UpstreamId upstream) {
    return enterAll(upstream, gate -> gate.tryEnterLocally(upstream));
  }

  private boolean enterAll(UpstreamId upstream, Predicate<UpstreamGate> enter) {
    for (int i = 0; i < gates.size(); i++) {
      if (!enter.test(gates.get(i))) {
        leaveFirst(i, upstream);
        return false;
      }
    }
    return true;
  }

  @Override
  public boolean isAwaitingPermit(UpstreamId upstream) {
    return gates.stream().anyMatch(gate -> gate.isAwaitingPermit(upstream));
  }

  @Override
  public void leave(UpstreamId upstream) {
    leaveFirst(gates.size(), upstream);
  }

  private void leaveFirst(int count, UpstreamId upstream) {
    for (int i = 0; i < count; i++) {
      gates.get(i).leave(upstream);
    }
  }
}
