package org.ragworttide.coordination.placement;

/**
 * Bounds what one VM sends to one upstream in cold start.
 *
 * <p>Answers the pattern in which a zone's upstreams return together, cold, and every VM turns to
 * them at once. Each VM keeps its share of the upstream's bound, by the number of VMs that it hears
 * of, and no more than a fixed share when it hears of few.
 *
 * <p>Invariant: requests leave at least an interval apart. Confined to one thread.
 */
public final class ColdAllowance {
  /** Requests a second that a cold upstream gets from all VMs: it bears 20. */
  private static final double FLEET_REQUESTS_PER_SECOND = 10;

  /** VMs that are assumed when fewer are heard of. */
  private static final int LEAST_FLEET = 10;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final PeerLoads peers;
  private long coldUntilMillis = Long.MIN_VALUE;
  private long nextAtMillis = Long.MIN_VALUE;

  /** Creates the allowance of a warm upstream. */
  ColdAllowance(PeerLoads peers) {
    this.peers = peers;
  }

  /** Notes until when the upstream is cold. */
  public void coldUntil(long millis) {
    coldUntilMillis = millis;
  }

  /** Tells whether the upstream is cold. */
  public boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Tells whether a request may leave now. */
  public boolean admits(long nowMillis) {
    return !isCold(nowMillis) || nowMillis >= nextAtMillis;
  }

  /** Counts a request that leaves now. */
  public void sent(long nowMillis) {
    int vms = Math.max(LEAST_FLEET, peers.fleetSize());
    nextAtMillis = nowMillis + (long) (MILLIS_PER_SECOND * vms / FLEET_REQUESTS_PER_SECOND);
  }
}
