package org.ragworttide.bench.path;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Latencies and outcomes that the callers of one part of a run observe; safe for use by any thread.
 */
final class Timings {
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(1);
  private static final int MAX_PRINTED_FAILURES = 3;

  private final Histogram firstByteMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  private final Histogram gapMicros = new ConcurrentHistogram(MAX_MICROS, 3);
  private final AtomicInteger completed = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final boolean printsFailures;

  Timings(boolean printsFailures) {
    this.printsFailures = printsFailures;
  }

  void recordFirstByte(long nanos) {
    firstByteMicros.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  void recordGap(long nanos) {
    gapMicros.recordValue(Math.min(MAX_MICROS, TimeUnit.NANOSECONDS.toMicros(nanos)));
  }

  /** Counts the end of a call and prints the first failures. */
  void recordEnd(boolean isComplete, Supplier<String> summary) {
    if (isComplete) {
      completed.incrementAndGet();
    } else if (failed.incrementAndGet() <= MAX_PRINTED_FAILURES && printsFailures) {
      System.err.println("bench: incomplete answer: " + summary.get());
    }
  }

  int completed() {
    return completed.get();
  }

  int failed() {
    return failed.get();
  }

  /** Returns a percentile of the time to the first byte. */
  double firstByteMillis(double percentile) {
    return firstByteMicros.getValueAtPercentile(percentile) / 1_000.0;
  }

  /** Returns a percentile of the time between two consecutive parts of an answer. */
  double gapMillis(double percentile) {
    return gapMicros.getValueAtPercentile(percentile) / 1_000.0;
  }
}
