package org.ragworttide.coordination.versions;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.MembershipQueries;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;

/**
 * Chooses the readers of the platform's service, a few in each availability zone.
 *
 * <p>Invariant: a VM that sees too many VMs as suspected reads too much, never too little.
 * Stateless but for the view; not safe for use by several threads.
 */
final class ReaderOrder {
  static final int READERS_A_ZONE = 2;
  private static final String KEY = "configuration readers";

  private final VmId self;
  private final MembershipQueries membership;

  ReaderOrder(VmId self, MembershipQueries membership) {
    this.self = self;
    this.membership = membership;
  }

  /** Returns whether this VM is among the first of its zone. */
  boolean isReader() {
    return zoneOrder().stream().limit(READERS_A_ZONE).anyMatch(self::equals);
  }

  /** Returns the first VM of the zone that is not a reader by order. */
  Optional<VmId> next() {
    return zoneOrder().stream().skip(READERS_A_ZONE).findFirst();
  }

  private List<VmId> zoneOrder() {
    Optional<VmList> list = membership.list();
    Optional<VmEntry> own = list.flatMap(vms -> vms.find(self));
    if (own.isEmpty()) {
      return List.of(self);
    }
    List<VmId> zone =
        list.get().vms().stream()
            .filter(vm -> vm.zone().equals(own.get().zone()) && vm.state() == VmState.LIVE)
            .map(VmEntry::id)
            .filter(vm -> !membership.isSuspected(vm))
            .toList();
    return Rendezvous.order(KEY, zone, VmId::value);
  }
}
