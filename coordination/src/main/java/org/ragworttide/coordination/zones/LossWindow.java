package org.ragworttide.coordination.zones;

import java.util.Arrays;

/**
 * Losses of a service's requests in the last four seconds.
 *
 * <p>Invariant: the sum is that of the buckets. Confined to one thread.
 */
final class LossWindow {
  static final long BUCKET_MILLIS = 500;
  static final int BUCKETS = 8;

  private final ZoneLosses[] buckets = new ZoneLosses[BUCKETS];
  private long current;

  LossWindow() {
    Arrays.fill(buckets, ZoneLosses.NONE);
  }

  void add(ZoneLosses losses, long nowMillis) {
    advance(nowMillis);
    int index = index(current);
    buckets[index] = buckets[index].plus(losses);
  }

  ZoneLosses sum(long nowMillis) {
    advance(nowMillis);
    ZoneLosses sum = ZoneLosses.NONE;
    for (ZoneLosses bucket : buckets) {
      sum = sum.plus(bucket);
    }
    return sum;
  }

  private void advance(long nowMillis) {
    long bucket = nowMillis / BUCKET_MILLIS;
    for (long next = Math.max(current + 1, bucket - BUCKETS + 1); next <= bucket; next++) {
      buckets[index(next)] = ZoneLosses.NONE;
    }
    current = Math.max(current, bucket);
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, BUCKETS);
  }
}
