package org.ragworttide.coordination.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the arithmetic of the token bucket, the shares and the clock drift. */
public class TokenBucketTest {

  @Test
  public void outstandingTokensReduceTheRefill() {
    TokenBucket bucket = new TokenBucket(new RateLimit(10, 5), 0);
    bucket.refill(10_000);
    assertEquals(bucket.lend(5), 5);
    bucket.refill(20_000);
    assertEquals(bucket.wholeTokens(), 0);
    bucket.settleLent(5, 2);
    assertEquals(bucket.wholeTokens(), 2);
  }

  @Test
  public void refillOfFastClockStaysWithinTheRate() {
    TokenBucket bucket = new TokenBucket(new RateLimit(1_000, 1_000_000), 0);
    bucket.refill(100_100);
    assertTrue(bucket.wholeTokens() <= 100_000, "tokens " + bucket.wholeTokens());
  }

  @Test
  public void veryLongIdleTimeFillsWithoutOverflow() {
    TokenBucket bucket = new TokenBucket(new RateLimit(1_000_000, 1_000_000_000), 0);
    bucket.refill(Long.MAX_VALUE / 2);
    assertEquals(bucket.wholeTokens(), 1_000_000_000);
  }

  @Test
  public void sharesNeverExceedTheLimit() {
    RateLimit limit = new RateLimit(37, 113);
    LimitShares shares = LimitShares.of(limit, LimitSettings.of(7));
    assertEquals(shares.part().burst() + 7 * shares.reserve().burst(), 113.0, 1e-9);
    assertEquals(shares.part().ratePerSecond() + 7 * shares.reserve().ratePerSecond(), 37, 1e-9);
  }

  @Test
  public void ownerHasTheWholeLimitIfReservesWouldHoldLessThanOneToken() {
    RateLimit limit = new RateLimit(2, 6);
    LimitShares shares = LimitShares.of(limit, LimitSettings.of(350));
    assertEquals(shares.part(), limit);
    assertEquals(shares.reserve(), RateLimit.ZERO);
  }

  @Test
  public void stretchedPermitsExpireWithinTheOwnership() {
    for (long remaining = 0; remaining < 5_000; remaining++) {
      long permit = ClockDrift.shortened(remaining);
      assertTrue(
          permit == 0 || ClockDrift.stretched(permit) <= remaining, "remaining " + remaining);
    }
  }

  @Test
  public void partsNeverExceedTheLimit() {
    RateLimit limit = new RateLimit(300, 95);
    LimitShares shares = LimitShares.of(limit, LimitSettings.of(350));
    assertEquals(shares.parts(), 9);
    assertTrue(shares.parts() * shares.part().burstNanos() <= limit.burstNanos());
    assertTrue(shares.parts() * shares.part().rateNanosPerMilli() <= limit.rateNanosPerMilli());
  }

  @Test
  public void creditNeverExceedsTheBurst() {
    TokenBucket bucket = new TokenBucket(new RateLimit(1, 5), 0);
    bucket.refill(10_000);
    bucket.lend(2);
    bucket.credit(9);
    assertEquals(bucket.wholeTokens(), 3);
  }
}
