package org.ragworttide.bench.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragworttide.bench.Report;
import org.ragworttide.coordination.versions.PropagationFleet;

/** Measures the time until a new version reaches the last daemon; single-threaded. */
final class SpreadMeasures {
  private static final int VMS = 350;
  private static final int DOCUMENT_BYTES = 300_000;
  private static final double LOSS_SHARE = 0.05;
  private static final double MAX_SPREAD_MILLIS = 11_000;
  private static final int STEP_MILLIS = 10;
  private static final int WARM_UP_MILLIS = 10_000;

  private final Report report;
  private final List<Long> seeds;

  SpreadMeasures(Report report, List<Long> seeds) {
    this.report = report;
    this.seeds = seeds;
  }

  void run() {
    List<Double> runs = new ArrayList<>();
    for (long seed : seeds) {
      runs.add(spreadMillis(seed));
    }
    report.atMost(
        "versionSpreadMillis", Map.of("vms", VMS, "loss", LOSS_SHARE), runs, MAX_SPREAD_MILLIS);
  }

  private static double spreadMillis(long seed) {
    PropagationFleet fleet = new PropagationFleet(seed, VMS, (from, to, message) -> {});
    fleet.network.faults(LOSS_SHARE, 0.01, 20);
    fleet.publish(1, PropagationFleet.document(1, DOCUMENT_BYTES));
    fleet.vms.forEach(fleet::read);
    fleet.vms.forEach(vm -> fleet.at(vm).start());
    fleet.time.advance(WARM_UP_MILLIS);
    final long start = fleet.time.nowMillis();
    fleet.publish(2, PropagationFleet.document(2, DOCUMENT_BYTES));
    fleet.readersRead();
    while (fleet.lowestVersion() < 2 && fleet.time.nowMillis() - start <= 2 * MAX_SPREAD_MILLIS) {
      fleet.time.advance(STEP_MILLIS);
    }
    return fleet.time.nowMillis() - start;
  }
}
