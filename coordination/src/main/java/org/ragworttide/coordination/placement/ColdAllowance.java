package org.ragworttide.coordination.placement;

/**
 * What a VM knows of one upstream's cold start: how long it lasts, and whether a permit for a
 * request was refused lately.
 *
 * <p>Invariant: after a refusal, no permit is asked for until {@link #REFUSAL_MILLIS} have passed,
 * so that a VM with many requests asks a few times per second. Confined to one thread.
 */
public final class ColdAllowance {
  /** Time after a refusal in which a cold upstream is no candidate: a few permits' interval. */
  static final long REFUSAL_MILLIS = 200;

  private long coldUntilMillis = Long.MIN_VALUE;
  private long refusedUntilMillis = Long.MIN_VALUE;

  /** Creates the allowance of a warm upstream. */
  ColdAllowance() {}

  /** Sets the time until which the upstream is cold. */
  public void setColdUntil(long millis) {
    coldUntilMillis = millis;
  }

  /** Returns whether the upstream is cold, so that each request needs a permit. */
  public boolean isCold(long nowMillis) {
    return nowMillis < coldUntilMillis;
  }

  /** Returns whether the upstream is a candidate. */
  public boolean admits(long nowMillis) {
    return !isCold(nowMillis) || nowMillis >= refusedUntilMillis;
  }

  /** Records that a permit was refused or not answered. */
  public void recordRefusal(long nowMillis) {
    refusedUntilMillis = nowMillis + REFUSAL_MILLIS;
  }
}
