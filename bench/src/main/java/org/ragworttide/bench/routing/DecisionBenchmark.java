package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.routing.RouteResult;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.routing.UpstreamSpec;
import org.ragworttide.coordination.time.ManualTimerService;

/** Measures one routing decision and the release of its slot; each thread has its own state. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecisionBenchmark {
  private static final int CHATS = 4_096;
  private static final int MAX_IN_FLIGHT = 10_000;

  /** Number of engines that serve the model. */
  @Param({"13", "100", "600"})
  public int engines;

  private final List<RouteRequest> requests = new ArrayList<>();
  private Router router;
  private int next;

  /** Creates a router that has the specs and load reports of all engines. */
  @Setup
  public void createRouter() {
    ManualTimerService time = new ManualTimerService();
    time.advance(1_000_000);
    router = new Router(time, RouterSettings.DEFAULTS, UpstreamGate.OPEN);
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      specs.add(RouterStrategy.spec(i, true, MAX_IN_FLIGHT));
    }
    router.facts().fleet(350, 7);
    router.facts().upstreams(specs);
    for (int i = 0; i < engines; i++) {
      router
          .facts()
          .recordLoadReport(new LoadReport(RouterStrategy.id(i), 1, 999_000, 80 + i % 40, 0));
    }
    for (int i = 0; i < CHATS; i++) {
      requests.add(RouterStrategy.request(i));
    }
  }

  /** Routes the next chat and releases its slot. */
  @Benchmark
  public RouteResult decision() {
    next = (next + 1) % CHATS;
    RouteResult result = router.route(requests.get(next));
    ((RouteResult.Chosen) result).slot().release();
    return result;
  }
}
