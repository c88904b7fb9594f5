package org.ragworttide.coordination.net;

import java.util.function.LongConsumer;

/** Runs a test for many seeds, set by the system properties seed and seeds; stateless. */
public final class Seeds {
  private static final int DEFAULT_COUNT = 40;

  private Seeds() {}

  /** Runs the test for each seed and reports the seed that failed. */
  public static void each(LongConsumer test) {
    long first = Long.getLong("seed", 1);
    int count = Integer.getInteger("seeds", DEFAULT_COUNT);
    for (long seed = first; seed < first + count; seed++) {
      try {
        test.accept(seed);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("failed with -Dseed=" + seed + " -Dseeds=1: " + e.getMessage(), e);
      }
    }
  }
}
