package org.ragworttide.coordination.limits;

/**
 * Token bucket that refills at a steady rate and counts in whole billionths of a token.
 *
 * <p>Invariant: a refill never raises level plus outstanding tokens above the burst, and never
 * exceeds the rate, even on a clock that runs fast within the bound of {@link ClockDrift}. Not safe
 * for use by several threads.
 */
final class TokenBucket {
  /** A clock reading may be this much older than the moment at which it is used. */
  private static final long GRANULARITY_MILLIS = 1;

  private RateLimit limit;
  private long rateNanosPerMilli;
  private long levelNanos;
  private long outstandingNanos;
  private long refilledMillis;

  /** Creates an empty bucket that refills from the given time. */
  TokenBucket(RateLimit limit, long sinceMillis) {
    this.refilledMillis = sinceMillis + GRANULARITY_MILLIS;
    applyLimit(limit);
  }

  /** Changes the limit at the given time and drops the tokens that exceed the new burst. */
  void change(RateLimit newLimit, long nowMillis) {
    refill(nowMillis);
    applyLimit(newLimit);
    levelNanos = Math.min(levelNanos, maxLevelNanos());
  }

  /** Adds the tokens for the time since the last refill. */
  void refill(long nowMillis) {
    long elapsed = nowMillis - refilledMillis;
    if (elapsed <= 0) {
      return;
    }
    long missing = maxLevelNanos() - levelNanos;
    if (missing <= 0 || elapsed > missing / Math.max(1, rateNanosPerMilli)) {
      levelNanos += Math.max(0, rateNanosPerMilli == 0 ? 0 : missing);
      refilledMillis = nowMillis + GRANULARITY_MILLIS;
    } else {
      levelNanos += elapsed * rateNanosPerMilli;
      refilledMillis = nowMillis;
    }
  }

  /** Takes up to the given number of whole tokens and returns how many were taken. */
  int take(int tokens) {
    int taken = (int) Math.min(tokens, wholeTokens());
    levelNanos -= taken * RateLimit.NANOS_PER_TOKEN;
    return taken;
  }

  /** Takes up to the given number of whole tokens and counts them as outstanding. */
  int lend(int tokens) {
    int taken = take(tokens);
    outstandingNanos += taken * RateLimit.NANOS_PER_TOKEN;
    return taken;
  }

  /** Removes lent tokens from the outstanding ones and adds the unused ones to the bucket. */
  void settleLent(int lent, int unused) {
    outstandingNanos -= lent * RateLimit.NANOS_PER_TOKEN;
    credit(unused);
  }

  /** Adds tokens up to the burst. */
  void credit(int tokens) {
    long freeNanos = Math.max(0, maxLevelNanos() - levelNanos);
    levelNanos += Math.min(freeNanos, tokens * RateLimit.NANOS_PER_TOKEN);
  }

  /**
   * Adds tokens that were transferred from another bucket; the burst does not bound them until the
   * next change of the limit.
   */
  void deposit(int tokens) {
    levelNanos += tokens * RateLimit.NANOS_PER_TOKEN;
  }

  /** Returns whether outstanding tokens alone exceed the burst. */
  boolean isOverdrawn() {
    return outstandingNanos > limit.burstNanos();
  }

  /** Returns the whole tokens in the bucket. */
  long wholeTokens() {
    return Math.max(0, levelNanos) / RateLimit.NANOS_PER_TOKEN;
  }

  /** Returns whether the bucket is full, so that a refill would be lost. */
  boolean isFull() {
    return limit.burstNanos() > 0 && levelNanos >= maxLevelNanos();
  }

  /**
   * Returns whether more than a quarter of the burst is outstanding or less than a quarter is in
   * the bucket.
   */
  boolean isScarce() {
    return outstandingNanos * 4 > limit.burstNanos() || levelNanos * 4 < limit.burstNanos();
  }

  /** Returns the milliseconds until the bucket has one more whole token, if nothing is taken. */
  long millisUntilToken() {
    long missing = RateLimit.NANOS_PER_TOKEN - Math.max(0, levelNanos);
    if (missing <= 0) {
      return 0;
    }
    return rateNanosPerMilli == 0 ? Long.MAX_VALUE : missing / rateNanosPerMilli + 1;
  }

  RateLimit limit() {
    return limit;
  }

  long levelNanos() {
    return levelNanos;
  }

  long outstandingNanos() {
    return outstandingNanos;
  }

  private long maxLevelNanos() {
    return Math.max(0, limit.burstNanos() - outstandingNanos);
  }

  private void applyLimit(RateLimit newLimit) {
    this.limit = newLimit;
    this.rateNanosPerMilli = ClockDrift.slowed(newLimit.rateNanosPerMilli());
  }
}
