package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * The VMs to which the owner of a limit has left the full share of their reserves.
 *
 * <p>Invariant: a VM that any owner has confirmed counts until its confirmation is over on the
 * slowest clock; while those of an earlier owner may last, every VM counts. Not safe for use by
 * several threads.
 */
final class ConfirmedVms {
  private final long othersOverMillis;
  private final Map<VmId, Long> untilMillis = new HashMap<>(2);

  /** Creates the VMs of an ownership that began at the given time. */
  ConfirmedVms(long sinceMillis) {
    this.othersOverMillis = sinceMillis + ClockRate.stretched(LimitTimes.CONFIRMED_MILLIS);
  }

  /** Notes that the VM is confirmed from now on. */
  void add(VmId vm, long nowMillis) {
    untilMillis.put(vm, nowMillis + ClockRate.stretched(LimitTimes.CONFIRMED_MILLIS));
  }

  /** Returns how many of the VMs that may run hold no more than the least share. */
  int unconfirmed(int maxVms, long nowMillis) {
    untilMillis.values().removeIf(until -> until <= nowMillis);
    return nowMillis < othersOverMillis ? 0 : Math.max(0, maxVms - untilMillis.size());
  }
}
