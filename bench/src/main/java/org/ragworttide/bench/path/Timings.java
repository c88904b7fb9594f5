package org.ragworttide.bench.path;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** What the callers of one part of a run have seen; safe for use by any thread. */
final class Timings {
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final int MAX_FAILURES_TOLD = 3;

  private final Histogram firstByteMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  private final Histogram gapMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final boolean tellsFailures;

  Timings(boolean tellsFailures) {
    this.tellsFailures = tellsFailures;
  }

  void firstByte(long nanos) {
    firstByteMicros.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  void gap(long nanos) {
    gapMicros.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  /** Counts the end of a call and tells the first failures. */
  void ended(boolean isWhole, Supplier<String> summary) {
    if (isWhole) {
      whole.incrementAndGet();
    } else if (failed.incrementAndGet() <= MAX_FAILURES_TOLD && tellsFailures) {
      System.err.println("bench: not whole: " + summary.get());
    }
  }

  int whole() {
    return whole.get();
  }

  int failed() {
    return failed.get();
  }

  /** Returns a percentile of the time to the first byte. */
  double firstByteMillis(double percentile) {
    return firstByteMicros.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Returns a percentile of the time between two parts of an answer. */
  double gapMillis(double percentile) {
    return gapMicros.getValueAtPercentile(percentile) / 1_000.0;
  }
}
