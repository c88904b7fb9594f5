package org.ragworttide.bench.coordination;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.ragworttide.bench.Report;
import org.ragworttide.coordination.limits.LimitSettings;

/**
 * Measures overshoot, wrongful refusals and the organisation with the lowest admission share;
 * single-threaded.
 */
final class LimitMeasures {
  private static final Map<LoadPattern, Double> MAX_WRONGFUL =
      new EnumMap<>(
          Map.of(
              LoadPattern.EVEN, 0.01,
              LoadPattern.SKEWED, 0.01,
              LoadPattern.BURSTY, 0.04,
              LoadPattern.PARTITIONED, 0.005,
              LoadPattern.OWNER_LOSS, 0.005,
              LoadPattern.SURGE, 0.01));
  private static final double MIN_WORST_SERVED = 0.95;
  private static final int TODAY_VMS = 7;
  private static final int TARGET_VMS = 350;
  private static final List<LimitSettings> ALTERNATIVE_SETTINGS =
      List.of(settings(0, 0), settings(0.1, 0.1), settings(0.1, 0.6), settings(0.9, 0.9));

  private final Report report;
  private final List<Long> seeds;

  LimitMeasures(Report report, List<Long> seeds) {
    this.report = report;
    this.seeds = seeds;
  }

  void run() {
    TrialSize today = TrialSize.of(TODAY_VMS, 10, 600, 60_000);
    for (LoadPattern pattern : LoadPattern.values()) {
      measure(today, pattern, LimitSettings.of(TODAY_VMS + 1), true);
    }
    for (LimitSettings other : ALTERNATIVE_SETTINGS) {
      for (LoadPattern pattern : LoadPattern.values()) {
        measure(today, pattern, other, false);
      }
    }
    TrialSize target = TrialSize.of(TARGET_VMS, 1_100, 3_000, 20_000);
    LimitSettings settings = LimitSettings.of(TARGET_VMS + 1);
    measure(target, LoadPattern.EVEN, settings, true);
    measure(target, LoadPattern.SURGE, settings, true);
  }

  private void measure(
      TrialSize size, LoadPattern pattern, LimitSettings settings, boolean bounded) {
    List<LimitResult> results =
        seeds.stream()
            .map(seed -> new LimitTrial(size, pattern, settings, seed, (f, t, m) -> {}).run())
            .toList();
    Map<String, Object> labels = CoordinationBenchmark.labels("vms", size.vms(), "load", pattern);
    labels.put("reserveShare", settings.reserveShare());
    labels.put("confirmedShare", settings.confirmedShare());
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

  private static LimitSettings settings(double reserveShare, double confirmedShare) {
    long retryWindow = LimitSettings.DEFAULT_RETRY_WINDOW_MILLIS;
    return new LimitSettings(TODAY_VMS + 1, reserveShare, confirmedShare, retryWindow);
  }

  private static List<Double> all(List<LimitResult> results, ToDoubleFunction<LimitResult> value) {
    return results.stream().map(value::applyAsDouble).toList();
  }
}
