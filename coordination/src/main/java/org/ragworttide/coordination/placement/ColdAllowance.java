package org.ragworttide.coordination.placement;

/**
 * Limits the rate at which one VM sends requests to one upstream during its cold start.
 *
 * <p>Handles the case in which the upstreams of a zone return cold at the same time and every VM
 * sends to them at once. Each VM keeps to its share of the fleet-wide rate: the rate divided by the
 * number of known VMs, and at most a fixed share while few VMs are known.
 *
 * <p>Invariant: while the upstream is cold, this VM's requests to it are at least the interval
 * apart that follows from its share. Confined to one thread.
 */
public final class ColdAllowance {
  /** Requests per second that all VMs together send to a cold upstream; it can handle 20. */
  private static final double FLEET_REQUESTS_PER_SECOND = 10;

  /** Number of VMs that is assumed while fewer are known. */
  private static final int MIN_FLEET_VMS = 10;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final PeerLoads peers;
  private long coldUntilMillis = Long.MIN_VALUE;
  private long nextRequestMillis = Long.MIN_VALUE;

  /** Creates the allowance of a warm upstream. */
  ColdAllowance(PeerLoads peers) {
    this.peers = peers;
  }

  /** Sets the time until which the upstream is cold. */
  public void setColdUntil(long millis) {
    coldUntilMillis = millis;
  }

  /** Returns whether the upstream is cold. */
  public boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Returns whether a request may be sent now. */
  public boolean admits(long nowMillis) {
    return !isCold(nowMillis) || nowMillis >= nextRequestMillis;
  }

  /** Records that a request is sent now. */
  public void recordRequest(long nowMillis) {
    int vms = Math.max(MIN_FLEET_VMS, peers.fleetSize());
    nextRequestMillis = nowMillis + (long) (MILLIS_PER_SECOND * vms / FLEET_REQUESTS_PER_SECOND);
  }
}
