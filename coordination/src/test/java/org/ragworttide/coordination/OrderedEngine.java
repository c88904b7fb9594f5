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
 * Engine in a test that receives orders and either checks or ignores their fencing numbers.
 *
 * <p>Invariant: it fetches only artifacts that an order allows. Used by one thread.
 */
final class OrderedEngine {
  private static final long LOADING_MILLIS = 300;

  final UpstreamId id;
  private final boolean checksFencing;
  private final Set<Artifact> loaded = new HashSet<>();
  private final Map<Artifact, Long> loadingUntilMillis = new LinkedHashMap<>();
  private long newestNumber;
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
    loadingUntilMillis.clear();
    newestNumber = 0;
    role = "idle";
  }

  OrderResult receive(EngineOrder order, long nowMillis) {
    if (checksFencing && order.fencingNumber() < newestNumber) {
      return new OrderResult.Outdated(newestNumber);
    }
    newestNumber = order.fencingNumber();
    role = order.wanted().role();
    loaded.retainAll(order.wanted().artifacts());
    loadingUntilMillis.keySet().retainAll(order.wanted().artifacts());
    order
        .fetch()
        .filter(artifact -> !loaded.contains(artifact))
        .ifPresent(
            artifact -> loadingUntilMillis.putIfAbsent(artifact, nowMillis + LOADING_MILLIS));
    return new OrderResult.Accepted();
  }

  void finishLoading(long nowMillis) {
    loadingUntilMillis.forEach(
        (artifact, until) -> {
          if (until <= nowMillis) {
            loaded.add(artifact);
          }
        });
    loadingUntilMillis.keySet().removeAll(loaded);
  }

  EngineReport report(long measuredAtMillis) {
    EngineState state = new EngineState(newestNumber, loaded, loadingUntilMillis.keySet(), role);
    return new EngineReport(id, incarnation, measuredAtMillis, Optional.of(state));
  }

  boolean hasState(WantedState wanted) {
    return role.equals(wanted.role()) && loaded.equals(Set.copyOf(wanted.artifacts()));
  }

  long newestNumber() {
    return newestNumber;
  }
}
