package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Statistics of a run, in total and per time slice for the plots.
 *
 * <p>Invariant: the totals leave out the warm-up. Confined to one thread.
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

  Tally(FleetSize size) {
    startMillis = size.warmupSeconds() * 1_000L;
    sliceMillis = (size.seconds() * 1_000L - startMillis + SLICES - 1) / SLICES;
    for (int i = 0; i < SLICES; i++) {
      sliceFirstToken.add(new Histogram(MAX_MILLIS, 3));
    }
  }

  int sliceIndex(long atMillis) {
    return (int) Math.min(SLICES - 1L, (atMillis - startMillis) / sliceMillis);
  }

  boolean isMeasured(long atMillis) {
    return atMillis >= startMillis;
  }

  void recordRefusal(long atMillis) {
    if (isMeasured(atMillis)) {
      requests++;
      refused++;
    }
  }

  void recordStart(long atMillis, boolean returns, boolean hit, long firstTokenMillis) {
    if (!isMeasured(atMillis)) {
      return;
    }
    requests++;
    firstToken.recordValue(firstTokenMillis);
    sliceFirstToken.get(sliceIndex(atMillis)).recordValue(firstTokenMillis);
    if (returns) {
      returning++;
      sliceReturning[sliceIndex(atMillis)]++;
      hits += hit ? 1 : 0;
      sliceHits[sliceIndex(atMillis)] += hit ? 1 : 0;
    }
  }

  void recordSkew(long atMillis, double multipleOfMean, boolean ramp) {
    if (isMeasured(atMillis)) {
      Histogram histogram = ramp ? rampSkewPercent : skewPercent;
      histogram.recordValue(Math.round(multipleOfMean * 100));
      int slice = sliceIndex(atMillis);
      sliceSkew[slice] = Math.max(sliceSkew[slice], multipleOfMean);
    }
  }

  double reuse() {
    return returning == 0 ? 0 : (double) hits / returning;
  }

  /** Returns the highest 95th percentile of the time to first token over all slices. */
  long worstSliceFirstToken() {
    return sliceFirstToken.stream().mapToLong(h -> h.getValueAtPercentile(95)).max().orElse(0);
  }
}
