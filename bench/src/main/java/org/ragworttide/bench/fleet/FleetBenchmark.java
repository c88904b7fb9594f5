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
 * Measures complete coordinators at several fleet sizes; single-threaded.
 *
 * <p>Invariant: at every size, each node receives the same requests per second as at the target
 * size, and the number of engines is in proportion; the CPU time includes the load generator and
 * the simulated network, so it is an upper bound.
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
  private static final double REQUESTS_PER_SECOND_PER_NODE = 3_000.0 / TARGET_VMS;
  private static final int WARM_UP_MILLIS = Integer.getInteger("warmUpMillis", 120_000);
  private static final int CHANGE_PERIOD_MILLIS = 51_000;
  private static final int DELIVERY_MILLIS = 3;
  private static final double LOSS_SHARE = 0.009;
  private static final double MAX_BYTES_PER_SECOND = 4_096;
  private static final double MAX_CORE_SHARE = 0.032;
  private static final double MAX_HEAP_BYTES = 128 * 1024 * 1024;
  private static final double MAX_SPREAD_MILLIS = 11_000;
  private static final double MAX_CLAIM_MILLIS = 1_300;
  private static final double MAX_REFUSED_WITHOUT_OWNER = 0.001;
  private static final double CLAIM_PERCENTILE = 99;

  private Report report;

  @Override
  public void run(Report report) {
    this.report = report;
    double first = 0;
    double last = 0;
    for (int vms : FLEET_SIZES) {
      last = measure(vms, 0);
      first = first == 0 ? last : first;
      measure(vms, LOSS_SHARE);
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
    double rate = REQUESTS_PER_SECOND_PER_NODE * vms;
    TrialSize size = TrialSize.of(vms, ORGANISATIONS, rate, CHANGE_PERIOD_MILLIS);
    final long heapBefore = Meters.usedHeapBytes();
    SimulatedFleet simulatedFleet = new SimulatedFleet(SEED, size, engines, meter);
    simulatedFleet.fleet.network().faults(loss, 0, DELIVERY_MILLIS);
    simulatedFleet.publish();
    LoadGenerator load = new LoadGenerator(simulatedFleet, size, engines, SEED);
    load.run(WARM_UP_MILLIS, meter::endSecond);
    print("worstSecondOfStart", labels, meter.maxSentPerSecond());
    meter.reset();
    final LoadGenerator.Outcomes outcomes = load.resetOutcomes();
    final SpreadTimer spread = new SpreadTimer(simulatedFleet);
    simulatedFleet.publish();
    final long cpuBefore = Meters.threadCpuNanos();
    load.run(
        CHANGE_PERIOD_MILLIS,
        () -> {
          meter.endSecond();
          spread.recordSecond();
        });
    final double core = (Meters.threadCpuNanos() - cpuBefore) / 1e6 / CHANGE_PERIOD_MILLIS / vms;
    report.atMost("coreShareOfNode", labels, List.of(core), MAX_CORE_SHARE);
    double heap = (double) (Meters.usedHeapBytes() - heapBefore) / vms;
    Reference.reachabilityFence(load);
    report.atMost("heapBytesOfNode", labels, List.of(heap), MAX_HEAP_BYTES);
    report.atMost("versionInForceMillis", labels, List.of(spread.millis()), MAX_SPREAD_MILLIS);
    reportOutcomes(labels, outcomes);
    return reportBytes(vms, labels, meter);
  }

  private double reportBytes(int vms, Map<String, Object> labels, FleetMeter meter) {
    double seconds = CHANGE_PERIOD_MILLIS / 1_000.0;
    double mean = 0;
    for (Topic topic : Topic.values()) {
      double sent = meter.sent(topic) / seconds / vms;
      Map<String, Object> topicLabels = new LinkedHashMap<>(labels);
      topicLabels.put("topic", topic.label());
      print("bytesSentPerSecondMean", topicLabels, sent);
      print("bytesSentPerSecondWorstNode", topicLabels, meter.maxSent(topic) / seconds);
      mean += sent;
    }
    print("bytesSentPerSecondMean", labels, mean);
    double sent = meter.maxSent() / seconds;
    double received = meter.maxReceived() / seconds;
    report.atMost("bytesSentPerSecondWorstNode", labels, List.of(sent), MAX_BYTES_PER_SECOND);
    report.atMost(
        "bytesReceivedPerSecondWorstNode", labels, List.of(received), MAX_BYTES_PER_SECOND);
    print("bytesSentWorstSecond", labels, meter.maxSentPerSecond());
    return mean;
  }

  private void reportOutcomes(Map<String, Object> labels, LoadGenerator.Outcomes outcomes) {
    Histogram claims = outcomes.claimMillis;
    print("claimMillisMean", labels, claims.getMean());
    double slow = claims.getValueAtPercentile(CLAIM_PERCENTILE);
    report.atMost("claimMillis99", labels, List.of(slow), MAX_CLAIM_MILLIS);
    print("claimMillisMax", labels, claims.getMaxValue());
    print("claims", labels, outcomes.claims);
    print("claimsNotGranted", labels, outcomes.claims - outcomes.granted);
    print("requests", labels, outcomes.requests);
    outcomes.limited.forEach(
        (reason, count) -> {
          Map<String, Object> reasonLabels = new LinkedHashMap<>(labels);
          reasonLabels.put("reason", reason.name());
          print("requestsRefusedByLimits", reasonLabels, count);
        });
    reportRefusedWithoutOwner(labels, outcomes);
    print("requestsNotPlaced", labels, outcomes.unrouted);
  }

  /** Reports the share of requests that the limits refuse for other reasons than the rate. */
  private void reportRefusedWithoutOwner(
      Map<String, Object> labels, LoadGenerator.Outcomes outcomes) {
    int rateExceeded = outcomes.limited.getOrDefault(RefusalReason.RATE_EXCEEDED, 0);
    int all = outcomes.limited.values().stream().mapToInt(Integer::intValue).sum();
    List<Double> share = List.of((double) (all - rateExceeded) / outcomes.requests);
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

  /** Records the second in which the last VM puts the new version in force. */
  private static final class SpreadTimer {
    private static final double SECOND_MILLIS = 1_000;

    private final SimulatedFleet simulatedFleet;
    private int seconds;
    private int secondOfLast;

    private SpreadTimer(SimulatedFleet simulatedFleet) {
      this.simulatedFleet = simulatedFleet;
    }

    private void recordSecond() {
      seconds++;
      if (secondOfLast == 0 && simulatedFleet.upToDateVms() == simulatedFleet.vms.size()) {
        secondOfLast = seconds;
      }
    }

    private double millis() {
      return secondOfLast == 0 ? Double.MAX_VALUE : secondOfLast * SECOND_MILLIS;
    }
  }
}
