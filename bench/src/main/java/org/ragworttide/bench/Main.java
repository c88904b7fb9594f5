package org.ragworttide.bench;

import java.util.Map;
import java.util.TreeMap;
import org.ragworttide.bench.coordination.CoordinationBenchmark;

/** Runs one of the measurements by its name; single-threaded. */
public final class Main {
  private static final Map<String, Benchmark> BENCHMARKS =
      new TreeMap<>(Map.of("coordination", new CoordinationBenchmark()));

  private Main() {}

  /** Runs the named measurement and exits 1 if a bound is missed, 2 on wrong usage. */
  public static void main(String[] args) {
    Benchmark benchmark = args.length == 0 ? null : BENCHMARKS.get(args[0]);
    if (benchmark == null) {
      System.err.println("usage: bench " + String.join("|", BENCHMARKS.keySet()));
      System.exit(2);
      return;
    }
    Report report = new Report(System.out);
    benchmark.run(report);
    System.exit(report.isWithinBounds() ? 0 : 1);
  }
}
