package org.ragworttide.bench.coordination;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.ragworttide.bench.Benchmark;
import org.ragworttide.bench.Report;

/** Measures rate limits, control traffic and the propagation of versions; single-threaded. */
public final class CoordinationBenchmark implements Benchmark {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final int RUNS = Integer.getInteger("runs", 3);

  @Override
  public void run(Report report) {
    new LimitMeasures(report, seeds()).run();
    new TrafficMeasures(report, seeds()).run();
    new SpreadMeasures(report, seeds()).run();
  }

  private static List<Long> seeds() {
    return LongStream.range(SEED, SEED + RUNS).boxed().toList();
  }

  /** Returns the labels of a measurement in the given order. */
  static Map<String, Object> labels(String firstName, Object first, String name, Object second) {
    Map<String, Object> labels = new LinkedHashMap<>();
    labels.put(firstName, first);
    labels.put(name, second);
    return labels;
  }
}
