package org.ragworttide.coordination.limits;

/**
 * The tokens of one organisation that this VM admits from, or lends, without a lease.
 *
 * <p>Invariants: without a confirmation by the owner of the limit it holds the least share only. It
 * starts empty and refills only when all permits that an earlier run of the process may have lent
 * are over; it grows only when all permits are over that the owner granted beyond what is left to
 * it. Level plus lent tokens never exceeds the share, but for tokens that came with a confirmation
 * until the share grows. Not safe for use by several threads.
 */
final class Reserve {
  private static final int RENEWAL_MILLIS = 30_000;
  private static final int ASK_PERIOD_MILLIS = 5_000;

  private final OwnerAccount account;
  private LimitShares shares;
  private boolean isFull;
  private long fullFromMillis;
  private long fullUntilMillis;
  private long askedMillis;

  Reserve(LimitShares shares, long startMillis) {
    this.shares = shares;
    this.account = new OwnerAccount(shares.leastReserve(), startMillis, permitsOver(startMillis));
    this.fullUntilMillis = startMillis;
    this.askedMillis = startMillis - ASK_PERIOD_MILLIS;
  }

  /** Puts changed shares in force. */
  void change(LimitShares newShares, long nowMillis) {
    settle(nowMillis);
    shares = newShares;
    adopt(isFull ? shares.reserve() : shares.leastReserve(), nowMillis);
  }

  /**
   * Takes in that the owner of the limit leaves the full share to this VM.
   *
   * @param untilMillis how long
   * @param fromMillis when the permits are over that the owner granted beyond what is left to it
   * @param tokens how many tokens the owner's bucket has lost to this VM
   * @param nowMillis the time
   */
  void confirm(long untilMillis, long fromMillis, int tokens, long nowMillis) {
    settle(nowMillis);
    if (nowMillis >= fullUntilMillis) {
      fullFromMillis = fromMillis;
    }
    fullUntilMillis = Math.max(fullUntilMillis, untilMillis);
    if (nowMillis < fullUntilMillis) {
      bucket().deposit(tokens);
    }
    settle(nowMillis);
  }

  /** Returns whether the owner should be asked for a confirmation. */
  boolean isDue(long nowMillis) {
    return shares.isConfirmable()
        && nowMillis - askedMillis >= ASK_PERIOD_MILLIS
        && fullUntilMillis - nowMillis < LimitTimes.CONFIRMED_MILLIS - RENEWAL_MILLIS;
  }

  void asked(long nowMillis) {
    askedMillis = nowMillis;
  }

  /** Brings share, refill and expiry up to the given time. */
  void settle(long nowMillis) {
    if (isFull && nowMillis >= fullUntilMillis) {
      isFull = false;
      adopt(shares.leastReserve(), fullUntilMillis);
    }
    if (!isFull && nowMillis >= fullFromMillis && nowMillis < fullUntilMillis) {
      isFull = true;
      adopt(shares.reserve(), nowMillis);
    }
    account.settle(nowMillis);
  }

  /** Returns whether time alone changes more than the level. */
  boolean changesAlone() {
    return shares.isConfirmable() || account.hasOpenPermits();
  }

  /** Uses one token, if there is one. */
  boolean use(long nowMillis) {
    settle(nowMillis);
    return bucket().take(1) == 1;
  }

  /** Returns how long a lent permit may last, so that it is over before the share shrinks. */
  long lendableMillis(long nowMillis) {
    settle(nowMillis);
    return isFull ? ClockRate.shortened(fullUntilMillis - nowMillis) : LimitTimes.PERMIT_MILLIS;
  }

  /** Returns whether a refill would be lost. */
  boolean isOverflowing(long nowMillis) {
    settle(nowMillis);
    return bucket().isFull();
  }

  /** Returns whether peers of this VM have reserves too. */
  boolean exists() {
    return shares.reserve().burst() >= 1;
  }

  OwnerAccount account() {
    return account;
  }

  TokenBucket bucket() {
    return account.bucket();
  }

  private void adopt(RateLimit share, long atMillis) {
    account.settle(atMillis);
    if (!bucket().limit().equals(share)) {
      bucket().change(share, atMillis);
    }
  }

  private static long permitsOver(long sinceMillis) {
    return sinceMillis + ClockRate.stretched(LimitTimes.PERMIT_MILLIS);
  }
}
