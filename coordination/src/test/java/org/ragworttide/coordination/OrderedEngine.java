package org.ragworttide.coordination;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.orders.Artifact;
import org.ragworttide.coordination.orders.EngineOrder;
import org.ragworttide.coordination.orders.EngineReport;
import org.ragworttide.coordination.orders.EngineState;
import org.ragworttide.coordination.orders.OrderResult;
import org.ragworttide.coordination.orders.WantedState;

/**
 * An engine in a test that takes orders and checks or ignores their fencing numbers.
 *
 * <p>Invariant: it fetches only what an order lets it fetch. Used by one thread.
 */
final class OrderedEngine {
  private static final long LOADING_MILLIS = 300;

  final UpstreamId id;
  private final boolean checksFencing;
  private final Set<Artifact> loaded = new HashSet<>();
  private final Map<Artifact, Long> loadingUntil = new LinkedHashMap<>();
  private long number;
  private long incarnation = 1;
  private String role = "idle";

  OrderedEngine(String id, boolean checksFencing) {
    this.id = new UpstreamId(id);
    this.checksFencing = checksFencing;
  }

  boolean checksFencing() {
    return checksFencing;
  }

  void restart() {
    incarnation++;
    loaded.clear();
    loadingUntil.clear();
    number = 0;
    role = "idle";
  }

  OrderResult take(EngineOrder order, long nowMillis) {
    if (checksFencing && order.fencingNumber() < number) {
      return new OrderResult.Old(number);
    }
    number = order.fencingNumber();
    role = order.wanted().role();
    loaded.retainAll(order.wanted().artifacts());
    loadingUntil.keySet().retainAll(order.wanted().artifacts());
    order
        .fetch()
        .filter(artifact -> !loaded.contains(artifact))
        .ifPresent(artifact -> loadingUntil.putIfAbsent(artifact, nowMillis + LOADING_MILLIS));
    return new OrderResult.Accepted();
  }

  void pass(long nowMillis) {
    loadingUntil.forEach(
        (artifact, until) -> {
          if (until <= nowMillis) {
            loaded.add(artifact);
          }
        });
    loadingUntil.keySet().removeAll(loaded);
  }

  EngineReport report(long measuredAtMillis) {
    EngineState state = new EngineState(number, loaded, loadingUntil.keySet(), role);
    return new EngineReport(id, incarnation, measuredAtMillis, Optional.of(state));
  }

  boolean is(WantedState wanted) {
    return role.equals(wanted.role()) && loaded.equals(Set.copyOf(wanted.artifacts()));
  }

  long number() {
    return number;
  }
}
