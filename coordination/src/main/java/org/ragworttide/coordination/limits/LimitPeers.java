package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;

/**
 * Knows which VMs did not answer of late and chooses whose reserve to borrow from.
 *
 * <p>Invariant: in a fleet of more than {@link LimitSettings#MAX_LENDING_VMS} nobody is chosen, so
 * that refused requests cost no more messages as the fleet grows. Not safe for use by several
 * threads.
 */
final class LimitPeers {
  static final int SILENT_MILLIS = 1_000;

  private final VmId self;
  private final boolean lending;
  private final Map<VmId, Long> silentUntilMillis = new HashMap<>();
  private List<VmId> peers = List.of();

  LimitPeers(VmId self, LimitSettings settings) {
    this.self = self;
    this.lending = settings.isLending();
  }

  /** Replaces the VMs that are known; this VM may be among them. */
  void replace(List<VmId> vms) {
    peers = vms.stream().filter(vm -> !vm.equals(self)).toList();
  }

  /** Returns the peers to tell of requests that this VM's reserves have counted. */
  List<VmId> lendingPeers() {
    return lending ? peers : List.of();
  }

  /** Returns a VM whose reserve may have a token for the request. */
  Optional<VmId> lender(HolderAccount account, Waiter waiter, long nowMillis) {
    if (!lending || !account.reserve().exists()) {
      return Optional.empty();
    }
    for (int i = 0; i < peers.size(); i++) {
      VmId peer = peers.get((int) Math.floorMod(waiter.request() + i, (long) peers.size()));
      if (!isSilent(peer, nowMillis) && !account.isLenderEmpty(peer, nowMillis)) {
        return Optional.of(peer);
      }
    }
    return Optional.empty();
  }

  boolean isSilent(VmId vm, long nowMillis) {
    return silentUntilMillis.getOrDefault(vm, Long.MIN_VALUE) > nowMillis;
  }

  void silent(VmId vm, long nowMillis) {
    silentUntilMillis.put(vm, nowMillis + SILENT_MILLIS);
  }

  void heard(VmId vm) {
    silentUntilMillis.remove(vm);
  }

  void sweep(long nowMillis) {
    silentUntilMillis.values().removeIf(until -> until <= nowMillis);
  }
}
