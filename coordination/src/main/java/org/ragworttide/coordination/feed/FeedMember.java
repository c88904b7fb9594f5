package org.ragworttide.coordination.feed;

import org.ragworttide.coordination.hash.Rendezvous;

/**
 * A VM that may receive changes of the store and pass them on.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param address the VM's IPv4 address and port as one number, unique in the fleet
 * @param zoneKey the key of its availability zone, see {@link #zoneKey(String)}
 */
public record FeedMember(long address, int zoneKey) {
  private static final long RANK_KEY = Rendezvous.hash("change feed");

  /** Returns the key that identifies an availability zone in messages between VMs. */
  public static int zoneKey(String zone) {
    long hash = Rendezvous.hash(zone);
    return (int) (hash ^ hash >>> Integer.SIZE);
  }

  /** Returns the VM's rank, which is the same on every VM; changes flow from low to high ranks. */
  long rank() {
    return Rendezvous.weight(RANK_KEY, address * 0x9e3779b97f4a7c15L);
  }
}
