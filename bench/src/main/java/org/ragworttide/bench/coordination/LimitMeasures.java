package org.ragworttide.bench.coordination;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.ragworttide.bench.Report;
import org.ragworttide.coordination.limits.LimitSettings;

/** Measures overshoot, wrongful refusals and the worst-served organisation; single-threaded. */
final class LimitMeasures {
  private static final Map<LoadPattern, Double> MAX_WRONGFUL =
      new EnumMap<>(
          Map.of(
              LoadPattern.EVEN, 0.01,
              LoadPattern.SKEWED, 0.02,
              LoadPattern.BURSTY, 0.05,
              LoadPattern.PARTITIONED, 0.12,
              LoadPattern.OWNER_LOSS, 0.2,
              LoadPattern.SURGE, 0.02));
  private static final double MIN_WORST_SERVED = 0.95;
  private static final int TODAY_VMS = 7;

  private final Report report;
  private final List<Long> seeds;

  LimitMeasures(Report report, List<Long> seeds) {
    this.report = report;
    this.seeds = seeds;
  }

  void run() {
    TrialSize today = TrialSize.of(TODAY_VMS, 10, 600, 60_000);
    for (LoadPattern pattern : LoadPattern.values()) {
      measure(today, pattern, LimitSettings.DEFAULT_RESERVE_SHARE, true);
    }
    for (double share : new double[] {0, 0.2, 0.4}) {
      for (LoadPattern pattern : LoadPattern.values()) {
        measure(today, pattern, share, false);
      }
    }
    TrialSize target = TrialSize.of(350, 1_100, 3_000, 20_000);
    measure(target, LoadPattern.EVEN, LimitSettings.DEFAULT_RESERVE_SHARE, true);
    measure(target, LoadPattern.SURGE, LimitSettings.DEFAULT_RESERVE_SHARE, true);
  }

  private void measure(TrialSize size, LoadPattern pattern, double reserveShare, boolean bounded) {
    List<LimitResult> results =
        seeds.stream()
            .map(seed -> new LimitTrial(size, pattern, reserveShare, seed, (f, t, m) -> {}).run())
            .toList();
    Map<String, Object> labels = CoordinationBenchmark.labels("vms", size.vms(), "load", pattern);
    labels.put("reserveShare", reserveShare);
    report.atMost("overshoot", labels, all(results, LimitResult::overshoot), 0);
    List<Double> wrongful = all(results, LimitResult::wrongful);
    List<Double> worst = all(results, LimitResult::worstServed);
    if (bounded) {
      report.atMost("wrongfulRefusals", labels, wrongful, MAX_WRONGFUL.get(pattern));
    } else {
      report.plain("wrongfulRefusals", labels, wrongful);
    }
    if (bounded && pattern == LoadPattern.SURGE && size.vms() == TODAY_VMS) {
      report.atLeast("worstServed", labels, worst, MIN_WORST_SERVED);
    } else {
      report.plain("worstServed", labels, worst);
    }
    report.plain("wrongfulRefusalsOfFixedShares", labels, all(results, LimitResult::fixedWrongful));
    report.plain("worstServedOfFixedShares", labels, all(results, LimitResult::fixedWorstServed));
  }

  private static List<Double> all(List<LimitResult> results, ToDoubleFunction<LimitResult> value) {
    return results.stream().map(value::applyAsDouble).toList();
  }
}
