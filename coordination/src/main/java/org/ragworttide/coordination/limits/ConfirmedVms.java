package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * Set of the VMs whose full reserves the owner of a limit has confirmed.
 *
 * <p>Invariant: a VM that any owner has confirmed is counted as confirmed until its confirmation
 * has expired on the slowest clock. While confirmations of an earlier owner may be valid, every VM
 * is counted as confirmed. Not safe for use by several threads.
 */
final class ConfirmedVms {
  private final long earlierExpiryMillis;
  private final Map<VmId, Long> expiryMillis = new HashMap<>(2);

  /** Creates an empty set; earlier owners may have confirmed reserves until the given time. */
  ConfirmedVms(long sinceMillis) {
    this.earlierExpiryMillis = sinceMillis + ClockDrift.stretched(LimitTimes.CONFIRMED_MILLIS);
  }

  /** Records that the VM is confirmed from now on. */
  void add(VmId vm, long nowMillis) {
    expiryMillis.put(vm, nowMillis + ClockDrift.stretched(LimitTimes.CONFIRMED_MILLIS));
  }

  /** Returns how many of the VMs that may run hold at most the unconfirmed reserve. */
  int countUnconfirmed(int maxVms, long nowMillis) {
    expiryMillis.values().removeIf(expiry -> expiry <= nowMillis);
    return nowMillis < earlierExpiryMillis ? 0 : Math.max(0, maxVms - expiryMillis.size());
  }
}
