package org.ragworttide.coordination.routing;

import java.util.List;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Admits what all of its gates admit.
 *
 * <p>Invariant: a refusal by one gate leaves no place taken at another. Confined to the
 * coordination thread.
 */
final class CombinedGate implements UpstreamGate {
  private final List<UpstreamGate> gates;

  CombinedGate(List<? extends UpstreamGate> gates) {
    this.gates = List.copyOf(gates);
  }

  @Override
  public boolean tryEnter(UpstreamId upstream) {
    for (int i = 0; i < gates.size(); i++) {
      if (!gates.get(i).tryEnter(upstream)) {
        leaveFirst(i, upstream);
        return false;
      }
    }
    return true;
  }

  @Override
  public boolean isDeciding(UpstreamId upstream) {
    return gates.stream().anyMatch(gate -> gate.isDeciding(upstream));
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
