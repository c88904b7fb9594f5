package org.ragworttide.daemon.runtime;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.OwnerView;
import org.ragworttide.coordination.limits.Ownership;
import org.ragworttide.coordination.time.TimerService;

/**
 * Tells limits, cold admission and quarantine who owns what: the first live VM by rendezvous order.
 *
 * <p>Two VMs that have different lists may both own a resource until the leases are in place.
 * Confined to the coordination thread.
 */
final class Owners implements OwnerView, org.ragworttide.coordination.admission.OwnerView {
  private static final long HOLD_MILLIS = 2_000;

  private final VmId self;
  private final TimerService time;
  private List<VmId> live = List.of();
  private long sinceMillis;

  Owners(VmId self, TimerService time) {
    this.self = self;
    this.time = time;
  }

  void members(List<VmId> vms) {
    if (!vms.equals(live)) {
      live = vms;
      sinceMillis = time.nowMillis();
    }
  }

  @Override
  public Optional<VmId> ownerOf(String resource) {
    return Rendezvous.order(resource, live, VmId::value).stream().findFirst();
  }

  @Override
  public Optional<Ownership> ownership(String resource) {
    return ownerOf(resource)
        .filter(self::equals)
        .map(owner -> new Ownership(sinceMillis, time.nowMillis() + HOLD_MILLIS));
  }

  @Override
  public OptionalLong ownedUntilMillis(String resource) {
    return ownership(resource)
        .map(held -> OptionalLong.of(held.untilMillis()))
        .orElse(OptionalLong.empty());
  }
}
