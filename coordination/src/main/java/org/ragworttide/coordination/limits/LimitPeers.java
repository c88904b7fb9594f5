package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;

/**
 * Tracks which VMs did not answer recently and selects the VM whose reserve to borrow from.
 *
 * <p>Invariant: in a fleet of more than {@link LimitSettings#MAX_LENDING_VMS} no VM is selected, so
 * that the messages per refused request do not increase with the size of the fleet. Not safe for
 * use by several threads.
 */
final class LimitPeers {
  static final int UNRESPONSIVE_MILLIS = 1_000;

  private final VmId self;
  private final boolean lending;
  private final Map<VmId, Long> unresponsiveUntilMillis = new HashMap<>();
  private List<VmId> peers = List.of();

  LimitPeers(VmId self, LimitSettings settings) {
    this.self = self;
    this.lending = settings.isLending();
  }

  /** Replaces the known VMs; this VM may be among them. */
  void replace(List<VmId> vms) {
    peers = vms.stream().filter(vm -> !vm.equals(self)).toList();
  }

  /** Returns the peers to notify of requests that are counted against this VM's reserves. */
  List<VmId> lendingPeers() {
    return lending ? peers : List.of();
  }

  /** Returns a VM whose reserve may have a token for the request. */
  Optional<VmId> findLender(HolderAccount account, Waiter waiter, long nowMillis) {
    if (!lending || !account.reserve().isConfigured()) {
      return Optional.empty();
    }
    for (int i = 0; i < peers.size(); i++) {
      VmId peer = peers.get((int) Math.floorMod(waiter.request() + i, (long) peers.size()));
      if (!isUnresponsive(peer, nowMillis) && !account.isLenderEmpty(peer, nowMillis)) {
        return Optional.of(peer);
      }
    }
    return Optional.empty();
  }

  boolean isUnresponsive(VmId vm, long nowMillis) {
    return unresponsiveUntilMillis.getOrDefault(vm, Long.MIN_VALUE) > nowMillis;
  }

  void recordTimeout(VmId vm, long nowMillis) {
    unresponsiveUntilMillis.put(vm, nowMillis + UNRESPONSIVE_MILLIS);
  }

  void recordAnswer(VmId vm) {
    unresponsiveUntilMillis.remove(vm);
  }

  void sweep(long nowMillis) {
    unresponsiveUntilMillis.values().removeIf(until -> until <= nowMillis);
  }
}
