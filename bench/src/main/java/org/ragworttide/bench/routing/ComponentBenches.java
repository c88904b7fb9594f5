package org.ragworttide.bench.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.retry.BreakerSettings;

/**
 * Runs the queueing, cold-start, memory and failure benchmarks and checks their bounds; stateless.
 */
final class ComponentBenches {
  private static final double MIN_SERVED_SHARE = 0.99;
  private static final double MAX_WRONGFUL_SHARE = 0.001;
  private static final double MAX_FAILED_SHARE = 0.001;
  private static final double MAX_MEMORY_BYTES = 16 * 1_024 * 1_024;
  private static final double MAX_NODE_BYTES_PER_SECOND = 4_096;
  private static final List<BreakerSettings> BREAKERS =
      List.of(
          BreakerSettings.DEFAULTS,
          new BreakerSettings(1, 1, 1_000, 30_000, 2),
          new BreakerSettings(3, 1, 1_000, 30_000, 2),
          new BreakerSettings(1_000_000, 1, 1_000, 30_000, 2));

  private ComponentBenches() {}

  static void overload(FleetSize size, int seeds, long firstSeed, Results results) {
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      for (boolean surge : new boolean[] {false, true}) {
        for (boolean fair : new boolean[] {true, false}) {
          OverloadBench bench = new OverloadBench(size, seed, surge, fair).run();
          results.print(overloadLine(size, seed, surge, fair, bench));
          if (fair) {
            String prefix = size.name() + "/overload" + (surge ? "-surge/" : "-calm/");
            results.atLeast(prefix + "worstServed", bench.minServedShare(), MIN_SERVED_SHARE);
            results.atMost(prefix + "wrongful", bench.wrongfulRefusals(), MAX_WRONGFUL_SHARE);
          }
        }
      }
    }
  }

  static void cold(FleetSize size, int seeds, long firstSeed, Results results) {
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      ColdStartBench bench = new ColdStartBench(size, seed).run();
      double worst = Arrays.stream(bench.maxBytesPerSecond).max().orElse(0);
      double mean = Arrays.stream(bench.sentBytes).average().orElse(0) / size.seconds();
      results.print(
          Results.line(
              "size",
              size.name(),
              "scenario",
              "COLD_RESTART",
              "seed",
              seed,
              "started",
              bench.started,
              "gaveUp",
              bench.timedOut,
              "highestCold",
              bench.maxColdInFlight,
              "warmShare",
              bench.warmShare(),
              "waitP50Millis",
              bench.waitMillis.getValueAtPercentile(50),
              "waitP95Millis",
              bench.waitMillis.getValueAtPercentile(95),
              "waitMaxMillis",
              bench.waitMillis.getMaxValue(),
              "bytesPerNodeSecond",
              mean,
              "worstNodeSecondBytes",
              worst));
      String prefix = size.name() + "/cold/";
      results.atMost(prefix + "highestCold", bench.maxColdInFlight, RouterStrategy.COLD_LIMIT);
      results.atMost(prefix + "worstNodeSecondBytes", worst, MAX_NODE_BYTES_PER_SECOND);
    }
  }

  static void memory(FleetSize size, Results results) throws InterruptedException {
    long bytes = MemoryBench.bytesPerDaemon(size.engines());
    results.print(
        Results.line("size", size.name(), "engines", size.engines(), "bytesPerDaemon", bytes));
    results.atMost(size.name() + "/memory/bytesPerDaemon", bytes, MAX_MEMORY_BYTES);
  }

  static void failure(FleetSize size, int seeds, long firstSeed, Results results) {
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      for (BreakerSettings settings : BREAKERS) {
        FailureBench bench = new FailureBench(size, seed, settings).run();
        double failedRequests = (double) bench.failedRequests / bench.requests;
        double probes = (double) bench.probes() / size.daemons() / size.seconds();
        results.print(
            Results.line(
                "size",
                size.name(),
                "scenario",
                "FAILURES",
                "tripFailures",
                settings.tripFailures(),
                "closeSuccesses",
                settings.closeSuccesses(),
                "seed",
                seed,
                "requests",
                bench.requests,
                "failedAttempts",
                bench.failedAttempts,
                "retries",
                bench.retries,
                "ended",
                bench.failedRequests,
                "probesPerNodeSecond",
                probes));
        if (settings.equals(BreakerSettings.DEFAULTS)) {
          String prefix = size.name() + "/failures/";
          results.atMost(prefix + "endedShare", failedRequests, MAX_FAILED_SHARE);
          results.atMost(prefix + "probes", probes, settings.probesPerSecond());
        }
      }
    }
  }

  private static Map<String, Object> overloadLine(
      FleetSize size, long seed, boolean surge, boolean fair, OverloadBench bench) {
    return Results.line(
        "size", size.name(),
        "scenario", surge ? "OVERLOAD" : "CALM",
        "queue", fair ? "fair" : "first-in-first-out",
        "seed", seed,
        "offered", Arrays.stream(bench.offered).sum(),
        "inTime", Arrays.stream(bench.inTime).sum(),
        "late", Arrays.stream(bench.late).sum(),
        "worstServed", bench.minServedShare(),
        "wrongfulRefusals", bench.wrongfulRefusals(),
        "quietWaitP95Millis", bench.quietWait.getValueAtPercentile(95));
  }
}
