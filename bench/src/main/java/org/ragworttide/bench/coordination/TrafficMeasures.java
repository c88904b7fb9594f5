package org.ragworttide.bench.coordination;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.ragworttide.bench.Meters;
import org.ragworttide.bench.Report;
import org.ragworttide.coordination.limits.LimitSettings;
import org.ragworttide.coordination.versions.PropagationFleet;

/**
 * Measures bytes, CPU time and heap per node at several fleet sizes; single-threaded.
 *
 * <p>Invariant: at every size, each node receives the same requests per second as at the target
 * size; the CPU time includes the load generator and the simulated network, so it is an upper
 * bound.
 */
final class TrafficMeasures {
  private static final int[] FLEET_SIZES = {7, 50, 150, 350};
  private static final int ORGANISATIONS = 1_100;
  private static final double REQUESTS_PER_SECOND_PER_NODE = 3_000.0 / 350;
  private static final int DURATION_MILLIS = 20_000;
  private static final int WARM_UP_MILLIS = 15_000;
  private static final double MAX_BYTES_PER_SECOND = 4_096;
  private static final double MAX_CORE_SHARE = 0.032;
  private static final double MAX_HEAP_BYTES = 128 * 1024 * 1024;
  private static final int DOCUMENT_BYTES = 300_000;
  private static final int CHANGE_PERIOD_MILLIS = 51_000;

  private final Report report;
  private final List<Long> seeds;
  private final Map<Integer, Double> bytesBySize = new TreeMap<>();

  TrafficMeasures(Report report, List<Long> seeds) {
    this.report = report;
    this.seeds = seeds;
  }

  void run() {
    for (int vms : FLEET_SIZES) {
      measure(vms);
    }
    int first = FLEET_SIZES[0];
    int last = FLEET_SIZES[FLEET_SIZES.length - 1];
    double slope = (bytesBySize.get(last) - bytesBySize.get(first)) / (last - first);
    report.plain("bytesPerSecondSlopePerNode", Map.of(), List.of(slope));
  }

  private void measure(int vms) {
    List<Double> meanSent = new ArrayList<>();
    List<Double> worst = new ArrayList<>();
    List<Double> cores = new ArrayList<>();
    List<Double> heaps = new ArrayList<>();
    for (long seed : seeds) {
      Sample limits = limits(vms, seed);
      Sample propagation = propagation(vms, seed);
      meanSent.add(limits.meanBytes + propagation.meanBytes);
      worst.add(limits.worstBytes + propagation.worstBytes);
      cores.add(limits.coreShare + propagation.coreShare);
      heaps.add(limits.heapBytes + propagation.heapBytes);
      report.plain("limitBytesPerSecond", Map.of("vms", vms), List.of(limits.meanBytes));
      report.plain("spreadBytesPerSecond", Map.of("vms", vms), List.of(propagation.meanBytes));
    }
    Map<String, Object> labels = Map.of("vms", vms);
    report.plain("bytesSentPerSecondMean", labels, meanSent);
    report.atMost("bytesPerSecondWorstNode", labels, worst, MAX_BYTES_PER_SECOND);
    report.atMost("coreShareOfNode", labels, cores, MAX_CORE_SHARE);
    report.atMost("heapBytesOfNode", labels, heaps, MAX_HEAP_BYTES);
    bytesBySize.put(vms, Report.median(meanSent));
  }

  private static Sample limits(int vms, long seed) {
    TrafficMeter meter = new TrafficMeter();
    TrialSize size =
        TrialSize.of(vms, ORGANISATIONS, REQUESTS_PER_SECOND_PER_NODE * vms, DURATION_MILLIS);
    final long heapBefore = Meters.usedHeapBytes();
    LimitSettings settings = LimitSettings.of(vms + 1);
    LimitTrial trial = new LimitTrial(size, LoadPattern.EVEN, settings, seed, meter);
    final long cpuBefore = Meters.threadCpuNanos();
    trial.run();
    final long cpu = Meters.threadCpuNanos() - cpuBefore;
    final double heap = (double) (Meters.usedHeapBytes() - heapBefore) / vms;
    long simulated = LimitTrial.warmUpMillis(settings) + DURATION_MILLIS;
    return sample(meter, vms, DURATION_MILLIS, simulated, cpu, heap, trial);
  }

  private static Sample propagation(int vms, long seed) {
    TrafficMeter meter = new TrafficMeter();
    final long heapBefore = Meters.usedHeapBytes();
    PropagationFleet fleet = new PropagationFleet(seed, vms, meter);
    byte[] document = PropagationFleet.document(1, DOCUMENT_BYTES);
    fleet.publish(1, document);
    fleet.vms.forEach(fleet::read);
    fleet.vms.forEach(vm -> fleet.at(vm).start());
    fleet.time.advance(WARM_UP_MILLIS);
    meter.reset();
    final long cpuBefore = Meters.threadCpuNanos();
    fleet.publish(2, PropagationFleet.document(2, DOCUMENT_BYTES));
    fleet.readersRead();
    fleet.time.advance(CHANGE_PERIOD_MILLIS);
    final long cpu = Meters.threadCpuNanos() - cpuBefore;
    final double heap = (double) (Meters.usedHeapBytes() - heapBefore) / vms;
    return sample(meter, vms, CHANGE_PERIOD_MILLIS, CHANGE_PERIOD_MILLIS, cpu, heap, fleet);
  }

  private static Sample sample(
      TrafficMeter meter,
      int vms,
      long meteredMillis,
      long ranMillis,
      long cpu,
      double heap,
      Object kept) {
    Reference.reachabilityFence(kept);
    double seconds = meteredMillis / 1_000.0;
    double worst = Math.max(meter.maxSent(), meter.maxReceived()) / seconds;
    double core = cpu / 1e6 / ranMillis / vms;
    return new Sample(meter.meanSent(vms) / seconds, worst, core, heap);
  }

  private record Sample(double meanBytes, double worstBytes, double coreShare, double heapBytes) {}
}
