package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a run counts, as a whole and in slices of time for the plots.
 *
 * <p>Invariant: only what happens after the warm-up counts in the whole. Confined to one thread.
 */
final class Tally {
  static final int SLICES = 60;
  private static final long MAX_MILLIS = 3_600_000;

  final Histogram firstToken = new Histogram(MAX_MILLIS, 3);
  final Histogram skewPercent = new Histogram(1_000_000, 3);
  final Histogram rampSkewPercent = new Histogram(1_000_000, 3);
  final List<Histogram> sliceFirstToken = new ArrayList<>();
  final long[] sliceReturning = new long[SLICES];
  final long[] sliceHits = new long[SLICES];
  final double[] sliceSkew = new double[SLICES];
  private final long startMillis;
  private final long sliceMillis;
  long requests;
  long refused;
  long returning;
  long hits;

  Tally(Size size) {
    startMillis = size.warmupSeconds() * 1_000L;
    sliceMillis = (size.seconds() * 1_000L - startMillis + SLICES - 1) / SLICES;
    for (int i = 0; i < SLICES; i++) {
      sliceFirstToken.add(new Histogram(MAX_MILLIS, 3));
    }
  }

  int slice(long atMillis) {
    return (int) Math.min(SLICES - 1L, (atMillis - startMillis) / sliceMillis);
  }

  boolean counts(long atMillis) {
    return atMillis >= startMillis;
  }

  void refused(long atMillis) {
    if (counts(atMillis)) {
      requests++;
      refused++;
    }
  }

  void started(long atMillis, boolean returns, boolean hit, long firstTokenMillis) {
    if (!counts(atMillis)) {
      return;
    }
    requests++;
    firstToken.recordValue(firstTokenMillis);
    sliceFirstToken.get(slice(atMillis)).recordValue(firstTokenMillis);
    if (returns) {
      returning++;
      sliceReturning[slice(atMillis)]++;
      hits += hit ? 1 : 0;
      sliceHits[slice(atMillis)] += hit ? 1 : 0;
    }
  }

  void skew(long atMillis, double multipleOfMean, boolean ramp) {
    if (counts(atMillis)) {
      Histogram histogram = ramp ? rampSkewPercent : skewPercent;
      histogram.recordValue(Math.round(multipleOfMean * 100));
      int slice = slice(atMillis);
      sliceSkew[slice] = Math.max(sliceSkew[slice], multipleOfMean);
    }
  }

  double reuse() {
    return returning == 0 ? 0 : (double) hits / returning;
  }

  /** Returns the worst 95th percentile of the first token of any slice. */
  long worstSliceFirstToken() {
    return sliceFirstToken.stream().mapToLong(h -> h.getValueAtPercentile(95)).max().orElse(0);
  }
}
