package org.ragworttide.bench.routing;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiFunction;
import org.ragworttide.coordination.routing.RouterSettings;

/** Measures cache reuse, skew and first-token times of all strategies; stateless. */
final class FleetBench {
  private static final double HOT_SHARE = 0.02;

  private FleetBench() {}

  /** Returns the strategies by name. */
  static Map<String, BiFunction<Simulation, boolean[], Strategy>> strategies(
      FleetSize size, RouterSettings settings, long seed) {
    boolean hints = size.daemons() < 50;
    RouterSettings plain = settings.withHintEntries(0);
    Map<String, BiFunction<Simulation, boolean[], Strategy>> all = new LinkedHashMap<>();
    all.put("router", (s, o) -> new RouterStrategy(size, plain, s.time, true, false));
    if (hints) {
      all.put("router-hints", (s, o) -> new RouterStrategy(size, settings, s.time, true, true));
    }
    all.put("router-local", (s, o) -> new RouterStrategy(size, plain, s.time, false, false));
    for (BaselineStrategy.Kind kind : BaselineStrategy.Kind.values()) {
      String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
      all.put(name, (s, o) -> new BaselineStrategy(kind, size, seed));
    }
    all.put("all-knowing", (s, o) -> new OracleStrategy(s.engines, settings.loadMultiple(), o));
    return all;
  }

  static Tally run(
      FleetSize size,
      Scenario scenario,
      long seed,
      BiFunction<Simulation, boolean[], Strategy> strategy) {
    Trace trace = Trace.generate(size, seed, scenario == Scenario.HOT_CHAT ? HOT_SHARE : 0);
    return new Simulation(size, scenario, trace, seed, strategy).run();
  }

  static Map<String, Object> line(
      FleetSize size, Scenario scenario, String strategy, long seed, Tally tally) {
    return Results.line(
        "size",
        size.name(),
        "scenario",
        scenario.name(),
        "strategy",
        strategy,
        "seed",
        seed,
        "requests",
        tally.requests,
        "refused",
        tally.refused,
        "reuse",
        tally.reuse(),
        "skewMedian",
        tally.skewPercent.getValueAtPercentile(50) / 100.0,
        "skewP99",
        tally.skewPercent.getValueAtPercentile(99) / 100.0,
        "skewMax",
        tally.skewPercent.getMaxValue() / 100.0,
        "rampSkewMax",
        tally.rampSkewPercent.getMaxValue() / 100.0,
        "firstTokenP50Millis",
        tally.firstToken.getValueAtPercentile(50),
        "firstTokenP95Millis",
        tally.firstToken.getValueAtPercentile(95),
        "worstSliceP95Millis",
        tally.worstSliceFirstToken());
  }
}
