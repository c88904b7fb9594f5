package org.ragworttide.coordination.limits;

/**
 * Tokens of one organisation from which this VM admits requests, or which it lends to peers,
 * without a lease.
 *
 * <p>Invariants: without a confirmation by the owner of the limit the reserve holds the unconfirmed
 * share only. It starts empty and refills only after all permits that an earlier incarnation of the
 * process may have lent have expired. It grows to the full share only after all permits have
 * expired that the owner granted beyond its reduced share. Level plus lent tokens never exceeds the
 * share, except for tokens that a confirmation transferred, until the share grows, and for permits
 * lent before the configuration lowered the share. Not safe for use by several threads.
 */
final class Reserve {
  private static final int RENEWAL_PERIOD_MILLIS = 30_000;
  private static final int ASK_RETRY_MILLIS = 5_000;

  private final OwnerAccount account;
  private LimitShares shares;
  private boolean hasFullShare;
  private long fullFromMillis;
  private long fullUntilMillis;
  private long lastAskMillis;

  Reserve(LimitShares shares, long startMillis) {
    this.shares = shares;
    this.account =
        new OwnerAccount(
            shares.unconfirmedReserve(), startMillis, permitsExpiryMillis(startMillis));
    this.fullUntilMillis = startMillis;
    this.lastAskMillis = startMillis - ASK_RETRY_MILLIS;
  }

  /** Applies changed shares. */
  void change(LimitShares newShares, long nowMillis) {
    settle(nowMillis);
    shares = newShares;
    applyShare(hasFullShare ? shares.reserve() : shares.unconfirmedReserve(), nowMillis);
  }

  /**
   * Records that the owner of the limit confirms the full share of this VM.
   *
   * @param expiresAtMillis when the confirmation expires
   * @param growsAtMillis when the reserve may grow, because the permits that the owner granted
   *     beyond its reduced share have expired
   * @param tokens how many tokens were transferred from the owner's bucket to this VM
   * @param nowMillis the present time
   */
  void confirm(long expiresAtMillis, long growsAtMillis, int tokens, long nowMillis) {
    settle(nowMillis);
    if (nowMillis >= fullUntilMillis) {
      fullFromMillis = growsAtMillis;
    }
    fullUntilMillis = Math.max(fullUntilMillis, expiresAtMillis);
    if (nowMillis < fullUntilMillis) {
      bucket().deposit(tokens);
    }
    settle(nowMillis);
  }

  /** Returns whether to request a confirmation from the owner. */
  boolean isConfirmationDue(long nowMillis) {
    return shares.isConfirmable()
        && nowMillis - lastAskMillis >= ASK_RETRY_MILLIS
        && fullUntilMillis - nowMillis < LimitTimes.CONFIRMED_MILLIS - RENEWAL_PERIOD_MILLIS;
  }

  void recordAsk(long nowMillis) {
    lastAskMillis = nowMillis;
  }

  /** Updates share, refill and lent permits to the given time. */
  void settle(long nowMillis) {
    if (hasFullShare && nowMillis >= fullUntilMillis) {
      hasFullShare = false;
      applyShare(shares.unconfirmedReserve(), fullUntilMillis);
    }
    if (!hasFullShare && nowMillis >= fullFromMillis && nowMillis < fullUntilMillis) {
      hasFullShare = true;
      applyShare(shares.reserve(), nowMillis);
    }
    account.settle(nowMillis);
  }

  /** Returns whether the passage of time changes more than the level of the bucket. */
  boolean changesOverTime() {
    return shares.isConfirmable() || account.hasOpenPermits();
  }

  /** Uses one token and returns whether there was one. */
  boolean tryUse(long nowMillis) {
    settle(nowMillis);
    return bucket().take(1) == 1;
  }

  /** Returns how long a lent permit may be valid, so that it expires before the share shrinks. */
  long maxLoanMillis(long nowMillis) {
    settle(nowMillis);
    return hasFullShare
        ? ClockDrift.shortened(fullUntilMillis - nowMillis)
        : LimitTimes.PERMIT_MILLIS;
  }

  /** Returns whether the bucket is full, so that a refill would be lost. */
  boolean isOverflowing(long nowMillis) {
    settle(nowMillis);
    return bucket().isFull();
  }

  /** Returns whether the VMs have reserves for this organisation. */
  boolean isConfigured() {
    return shares.reserve().burst() >= 1;
  }

  OwnerAccount account() {
    return account;
  }

  TokenBucket bucket() {
    return account.bucket();
  }

  private void applyShare(RateLimit share, long atMillis) {
    account.settle(atMillis);
    if (!bucket().limit().equals(share)) {
      bucket().change(share, atMillis);
    }
  }

  private static long permitsExpiryMillis(long sinceMillis) {
    return sinceMillis + ClockDrift.stretched(LimitTimes.PERMIT_MILLIS);
  }
}
