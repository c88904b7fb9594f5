package org.ragworttide.bench.fleet;

import java.lang.ref.Reference;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.ragworttide.bench.Benchmark;
import org.ragworttide.bench.Meters;
import org.ragworttide.bench.Report;
import org.ragworttide.bench.coordination.TrialSize;
import org.ragworttide.coordination.limits.RefusalReason;

/**
 * Measures whole coordinators by the size of the fleet; single-threaded.
 *
 * <p>Invariant: each node sees the same requests a second at every size, as at the target, and a
 * share of the engines in proportion; the processor time includes the load generator and the
 * simulated network, so it is an upper bound.
 */
public final class FleetBenchmark implements Benchmark {
  private static final long SEED = Long.getLong("seed", 20261204);
  private static final List<Integer> FLEET_SIZES =
      Stream.of(System.getProperty("vms", "7,50,150,350").split(","))
          .map(Integer::parseInt)
          .toList();
  private static final int TARGET_VMS = 350;
  private static final int TARGET_ENGINES = 600;
  private static final int ORGANISATIONS = 1_100;
  private static final double REQUESTS_PER_SECOND_A_NODE = 3_000.0 / TARGET_VMS;
  private static final int WARM_UP_MILLIS = Integer.getInteger("warmUpMillis", 120_000);
  private static final int CHANGE_PERIOD_MILLIS = 51_000;
  private static final int DELIVERY_MILLIS = 3;
  private static final double LOSS = 0.009;
  private static final double MAX_BYTES_PER_SECOND = 4_096;
  private static final double MAX_CORE_SHARE = 0.032;
  private static final double MAX_HEAP_BYTES = 128 * 1024 * 1024;
  private static final double MAX_SPREAD_MILLIS = 11_000;
  private static final double MAX_CLAIM_MILLIS = 1_300;
  private static final double MAX_REFUSED_WITHOUT_OWNER = 0.001;
  private static final double PERCENTILE = 99;

  private Report report;

  @Override
  public void run(Report report) {
    this.report = report;
    double first = 0;
    double last = 0;
    for (int vms : FLEET_SIZES) {
      last = measure(vms, 0);
      first = first == 0 ? last : first;
      measure(vms, LOSS);
    }
    int range = FLEET_SIZES.getLast() - FLEET_SIZES.getFirst();
    if (range > 0) {
      print("bytesSentPerSecondSlopeANode", Map.of(), (last - first) / range);
    }
  }

  private double measure(int vms, double loss) {
    final Map<String, Object> labels = labels(vms, loss);
    FleetMeter meter = new FleetMeter();
    Engines engines = new Engines(Math.ceilDiv(vms * TARGET_ENGINES, TARGET_VMS));
    double rate = REQUESTS_PER_SECOND_A_NODE * vms;
    TrialSize size = TrialSize.of(vms, ORGANISATIONS, rate, CHANGE_PERIOD_MILLIS);
    final long heapBefore = Meters.usedHeapBytes();
    WholeFleet whole = new WholeFleet(SEED, size, engines, meter);
    whole.fleet.network().faults(loss, 0, DELIVERY_MILLIS);
    whole.publish();
    WholeLoad load = new WholeLoad(whole, size, engines, SEED);
    load.run(WARM_UP_MILLIS, meter::endSecond);
    print("worstSecondOfStart", labels, meter.worstSecond());
    meter.reset();
    final WholeLoad.Outcomes outcomes = load.count();
    final Spread spread = new Spread(whole);
    whole.publish();
    final long cpuBefore = Meters.cpuNanos();
    load.run(
        CHANGE_PERIOD_MILLIS,
        () -> {
          meter.endSecond();
          spread.secondPassed();
        });
    final double core = (Meters.cpuNanos() - cpuBefore) / 1e6 / CHANGE_PERIOD_MILLIS / vms;
    report.atMost("coreShareOfNode", labels, List.of(core), MAX_CORE_SHARE);
    double heap = (double) (Meters.usedHeapBytes() - heapBefore) / vms;
    Reference.reachabilityFence(load);
    report.atMost("heapBytesOfNode", labels, List.of(heap), MAX_HEAP_BYTES);
    report.atMost("versionInForceMillis", labels, List.of(spread.millis()), MAX_SPREAD_MILLIS);
    outcomes(labels, outcomes);
    return bytes(vms, labels, meter);
  }

  private double bytes(int vms, Map<String, Object> labels, FleetMeter meter) {
    double seconds = CHANGE_PERIOD_MILLIS / 1_000.0;
    double mean = 0;
    for (Topic topic : Topic.values()) {
      double sent = meter.sent(topic) / seconds / vms;
      Map<String, Object> topicLabels = new LinkedHashMap<>(labels);
      topicLabels.put("topic", topic.label());
      print("bytesSentPerSecondMean", topicLabels, sent);
      print("bytesSentPerSecondWorstNode", topicLabels, meter.mostSent(topic) / seconds);
      mean += sent;
    }
    print("bytesSentPerSecondMean", labels, mean);
    double sent = meter.mostSent() / seconds;
    double received = meter.mostReceived() / seconds;
    report.atMost("bytesSentPerSecondWorstNode", labels, List.of(sent), MAX_BYTES_PER_SECOND);
    report.atMost(
        "bytesReceivedPerSecondWorstNode", labels, List.of(received), MAX_BYTES_PER_SECOND);
    print("bytesSentWorstSecond", labels, meter.worstSecond());
    return mean;
  }

  private void outcomes(Map<String, Object> labels, WholeLoad.Outcomes outcomes) {
    Histogram claims = outcomes.claimMillis;
    print("claimMillisMean", labels, claims.getMean());
    double slow = claims.getValueAtPercentile(PERCENTILE);
    report.atMost("claimMillis99", labels, List.of(slow), MAX_CLAIM_MILLIS);
    print("claimMillisMax", labels, claims.getMaxValue());
    print("claims", labels, outcomes.claims);
    print("claimsNotGranted", labels, outcomes.claims - outcomes.granted);
    print("requests", labels, outcomes.asked);
    outcomes.limited.forEach(
        (reason, count) -> {
          Map<String, Object> reasonLabels = new LinkedHashMap<>(labels);
          reasonLabels.put("reason", reason.name());
          print("requestsRefusedByLimits", reasonLabels, count);
        });
    lostShare(labels, outcomes);
    print("requestsNotPlaced", labels, outcomes.unplaced);
  }

  /** Reports the share of requests refused although the rate was not the reason. */
  private void lostShare(Map<String, Object> labels, WholeLoad.Outcomes outcomes) {
    int byRate = outcomes.limited.getOrDefault(RefusalReason.RATE_EXCEEDED, 0);
    int all = outcomes.limited.values().stream().mapToInt(Integer::intValue).sum();
    List<Double> share = List.of((double) (all - byRate) / outcomes.asked);
    if (labels.get("loss").equals(0.0)) {
      report.atMost("refusedWithoutOwnerShare", labels, share, MAX_REFUSED_WITHOUT_OWNER);
    } else {
      report.plain("refusedWithoutOwnerShare", labels, share);
    }
  }

  private void print(String measure, Map<String, ?> labels, double value) {
    report.plain(measure, labels, List.of(value));
  }

  private static Map<String, Object> labels(int vms, double loss) {
    Map<String, Object> labels = new LinkedHashMap<>();
    labels.put("vms", vms);
    labels.put("loss", loss);
    labels.put("seed", SEED);
    return labels;
  }

  /** Finds the second in which the last VM had the new version. */
  private static final class Spread {
    private static final double SECOND_MILLIS = 1_000;

    private final WholeFleet whole;
    private int seconds;
    private int secondOfLast;

    private Spread(WholeFleet whole) {
      this.whole = whole;
    }

    private void secondPassed() {
      seconds++;
      if (secondOfLast == 0 && whole.upToDate() == whole.vms.size()) {
        secondOfLast = seconds;
      }
    }

    private double millis() {
      return secondOfLast == 0 ? Double.MAX_VALUE : secondOfLast * SECOND_MILLIS;
    }
  }
}
