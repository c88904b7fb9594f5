package org.ragworttide.bench.routing;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.ragworttide.coordination.routing.RouterSettings;

/** Checks the router's results against the target bounds; stateless. */
final class FleetBounds {
  private static final double MAX_FIRST_TOKEN_P95_MILLIS = 1_300;
  private static final double MIN_REUSE_SHARE_OF_ORACLE = 0.9;

  private FleetBounds() {}

  static void check(
      FleetSize size, Scenario scenario, Map<String, List<Tally>> tallies, Results results) {
    String prefix = size.name() + "/" + scenario + "/";
    List<Tally> router = tallies.get("router");
    results.atMost(prefix + "refused", worst(router, t -> t.refused), 0);
    results.atMost(
        prefix + "worstSliceP95Millis",
        worst(router, Tally::worstSliceFirstToken),
        MAX_FIRST_TOKEN_P95_MILLIS);
    double multiple = RouterSettings.DEFAULTS.loadMultiple();
    results.atMost(
        prefix + "skewP99",
        worst(router, t -> t.skewPercent.getValueAtPercentile(99) / 100.0),
        multiple + 2 / size.meanLoad());
    if (scenario != Scenario.STALLED_REPORTS) {
      double best = -worst(tallies.get("all-knowing"), t -> -t.reuse());
      double reuse = -worst(router, t -> -t.reuse());
      results.atLeast(prefix + "reuse", reuse, MIN_REUSE_SHARE_OF_ORACLE * best);
    }
  }

  private static double worst(List<Tally> tallies, ToDoubleFunction<Tally> measure) {
    return tallies.stream().mapToDouble(measure).max().orElseThrow();
  }
}
