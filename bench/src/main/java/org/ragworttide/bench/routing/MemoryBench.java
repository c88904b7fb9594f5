package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.admission.AdmissionSettings;
import org.ragworttide.coordination.admission.ColdAdmission;
import org.ragworttide.coordination.admission.OwnerView;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.routing.UpstreamSpec;
import org.ragworttide.coordination.time.ManualTimerService;

/** Measures the heap that the router and the admission of one daemon retain; stateless. */
final class MemoryBench {
  private static final int COPIES = 50;
  private static final int MAX_IN_FLIGHT = 10_000;
  private static final long START_MILLIS = 1_000_000;
  private static final int COLLECTIONS = 4;

  private MemoryBench() {}

  /**
   * Returns the heap bytes that a router and its admission retain for the given number of engines.
   */
  static long bytesPerDaemon(int engines) throws InterruptedException {
    List<Object> kept = new ArrayList<>();
    kept.add(parts(engines));
    long before = usedBytes();
    for (int i = 0; i < COPIES; i++) {
      kept.add(parts(engines));
    }
    long bytes = (usedBytes() - before) / COPIES;
    return kept.isEmpty() ? 0 : bytes;
  }

  private static Object parts(int engines) {
    ManualTimerService time = new ManualTimerService();
    time.advance(START_MILLIS);
    ColdAdmission admission =
        new ColdAdmission(
            new VmId("vm"),
            time,
            new NoOwners(),
            (to, message) -> {},
            AdmissionSettings.DEFAULTS,
            1);
    Router router = new Router(time, RouterSettings.DEFAULTS, admission);
    List<UpstreamSpec> specs = new ArrayList<>();
    Map<UpstreamId, Integer> limits = new HashMap<>();
    for (int i = 0; i < engines; i++) {
      specs.add(RouterStrategy.spec(i, true, MAX_IN_FLIGHT));
      limits.put(RouterStrategy.id(i), RouterStrategy.COLD_LIMIT);
    }
    router.facts().upstreams(specs);
    admission.setColdLimits(limits);
    for (UpstreamSpec spec : specs) {
      router.facts().recordLoadReport(new LoadReport(spec.id(), 1, START_MILLIS - 1, 10, 0));
      admission.recordLoadReport(spec.id(), 1, START_MILLIS - 1, 10);
    }
    return List.of(router, admission);
  }

  private static long usedBytes() throws InterruptedException {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      Thread.sleep(50);
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private record NoOwners() implements OwnerView {
    @Override
    public Optional<VmId> ownerOf(String resource) {
      return Optional.empty();
    }

    @Override
    public OptionalLong ownedUntilMillis(String resource) {
      return OptionalLong.empty();
    }
  }
}
