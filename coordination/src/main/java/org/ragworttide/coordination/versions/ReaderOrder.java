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
 * Selects the VMs that read the platform's service, a few in each availability zone.
 *
 * <p>Invariant: wrongful suspicions cause too many readers, never too few. Stateless except for the
 * membership view; not safe for use by several threads.
 */
final class ReaderOrder {
  static final int READERS_PER_ZONE = 2;
  private static final String KEY = "configuration readers";

  private final VmId self;
  private final MembershipQueries membership;

  ReaderOrder(VmId self, MembershipQueries membership) {
    this.self = self;
    this.membership = membership;
  }

  /** Returns whether this VM is among the first VMs of its zone. */
  boolean isReader() {
    return zoneOrder().stream().limit(READERS_PER_ZONE).anyMatch(self::equals);
  }

  /** Returns the first VM of the zone after the readers. */
  Optional<VmId> standby() {
    return zoneOrder().stream().skip(READERS_PER_ZONE).findFirst();
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
