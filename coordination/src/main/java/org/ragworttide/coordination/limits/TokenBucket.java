package org.ragworttide.coordination.limits;

/**
 * Counts tokens that refill at a steady rate, in whole billionths of a token.
 *
 * <p>Invariant: level plus outstanding never exceeds the burst through a refill, and a refill never
 * exceeds the rate, also on a clock that runs fast within {@link ClockRate}. Not safe for use by
 * several threads.
 */
final class TokenBucket {
  /** A reading of the clock may be this much older than the moment it is used for. */
  private static final long GRANULARITY_MILLIS = 1;

  private RateLimit limit;
  private long rateNanosPerMilli;
  private long levelNanos;
  private long outstandingNanos;
  private long settledMillis;

  /** Creates an empty bucket that refills from the given time. */
  TokenBucket(RateLimit limit, long sinceMillis) {
    this.settledMillis = sinceMillis + GRANULARITY_MILLIS;
    use(limit);
  }

  /** Changes the limit at the given time; what exceeds the new burst is dropped. */
  void change(RateLimit newLimit, long nowMillis) {
    refill(nowMillis);
    use(newLimit);
    levelNanos = Math.min(levelNanos, roomNanos());
  }

  /** Adds what has flowed in until now. */
  void refill(long nowMillis) {
    long elapsed = nowMillis - settledMillis;
    if (elapsed <= 0) {
      return;
    }
    long missing = roomNanos() - levelNanos;
    if (missing <= 0 || elapsed > missing / Math.max(1, rateNanosPerMilli)) {
      levelNanos += Math.max(0, rateNanosPerMilli == 0 ? 0 : missing);
      settledMillis = nowMillis + GRANULARITY_MILLIS;
    } else {
      levelNanos += elapsed * rateNanosPerMilli;
      settledMillis = nowMillis;
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

  /** Ends the outstanding state of lent tokens, of which some come back unused. */
  void settle(int lent, int unused) {
    outstandingNanos -= lent * RateLimit.NANOS_PER_TOKEN;
    credit(unused);
  }

  /** Adds tokens as far as the burst leaves room. */
  void credit(int tokens) {
    long room = Math.max(0, roomNanos() - levelNanos);
    levelNanos += Math.min(room, tokens * RateLimit.NANOS_PER_TOKEN);
  }

  /** Takes over tokens that another bucket has lost; the burst counts from the next change on. */
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

  /** Returns whether a refill would be lost. */
  boolean isFull() {
    return limit.burstNanos() > 0 && levelNanos >= roomNanos();
  }

  /** Returns whether outstanding tokens take a large part of the burst. */
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

  private long roomNanos() {
    return Math.max(0, limit.burstNanos() - outstandingNanos);
  }

  private void use(RateLimit newLimit) {
    this.limit = newLimit;
    this.rateNanosPerMilli = ClockRate.slowed(newLimit.rateNanosPerMilli());
  }
}
