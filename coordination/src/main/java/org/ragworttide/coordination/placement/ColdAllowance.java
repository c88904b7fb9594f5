package org.ragworttide.coordination.placement;

/**
 * Bounds what one VM sends to one upstream in cold start.
 *
 * <p>Answers the pattern in which a zone's upstreams return together, cold, and every VM turns to
 * them at once. Each VM keeps a fixed share of the upstream's bound, so the sum needs no message.
 *
 * <p>Invariant: in any second at most {@link #VM_REQUESTS_PER_SECOND} + 1 requests leave. Confined
 * to one thread.
 */
public final class ColdAllowance {
  /** A cold upstream bears 20 requests a second (bound x 1.5 + 5); ten VMs share them. */
  static final double VM_REQUESTS_PER_SECOND = 1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private long coldUntilMillis = Long.MIN_VALUE;
  private long nextAtMillis = Long.MIN_VALUE;

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
    nextAtMillis = nowMillis + (long) (MILLIS_PER_SECOND / VM_REQUESTS_PER_SECOND);
  }
}
