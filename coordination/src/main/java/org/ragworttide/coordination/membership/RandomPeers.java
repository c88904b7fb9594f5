package org.ragworttide.coordination.membership;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ragworttide.coordination.id.VmId;

/** Selects peers at random, for probes and for gossip; stateless. */
public final class RandomPeers {

  private RandomPeers() {}

  /** Returns a random VM of the list other than this one, if there is one. */
  public static Optional<VmId> pick(Optional<VmList> list, VmId self, RandomGenerator random) {
    List<VmId> peers =
        list.map(VmList::vms).orElse(List.of()).stream()
            .map(VmEntry::id)
            .filter(vm -> !vm.equals(self))
            .toList();
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(random.nextInt(peers.size())));
  }
}
