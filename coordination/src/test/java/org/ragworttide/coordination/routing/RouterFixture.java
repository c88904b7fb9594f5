package org.ragworttide.coordination.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.ManualTimerService;

/** Routers of one fleet over thirteen engines in three zones, for single-threaded tests. */
final class RouterFixture {
  static final ModelId MODEL = new ModelId("base");
  static final int ENGINES = 13;

  final ManualTimerService time = new ManualTimerService();
  final List<Router> routers = new ArrayList<>();
  final int[] actual = new int[ENGINES];

  RouterFixture(int daemons) {
    this(daemons, UpstreamGate.OPEN);
  }

  RouterFixture(int daemons, UpstreamGate gate) {
    time.advance(1_000_000);
    for (int rank = 0; rank < daemons; rank++) {
      Router router = new Router(time, RouterSettings.DEFAULTS, gate);
      router.facts().fleet(daemons, rank);
      router.facts().upstreams(specs(ENGINES));
      routers.add(router);
    }
  }

  static List<UpstreamSpec> specs(int count) {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      specs.add(spec(i, true));
    }
    return specs;
  }

  static UpstreamSpec spec(int index, boolean inService) {
    return new UpstreamSpec(id(index), zone(index % 3), Set.of(MODEL), inService, 2, 1000);
  }

  static UpstreamId id(int index) {
    return new UpstreamId("engine-" + index);
  }

  static int index(UpstreamId id) {
    return Integer.parseInt(id.value().substring("engine-".length()));
  }

  static ZoneId zone(int index) {
    return new ZoneId("zone-" + index);
  }

  static RouteRequest request(String chat) {
    return new RouteRequest(new ChatId(chat), MODEL, new OrganisationId("org"), Set.of());
  }

  static Slot chosen(RouteResult result) {
    return ((RouteResult.Chosen) result).slot();
  }

  /** Reports the same load for all engines to all daemons. */
  void reportAll(long incarnation, int load) {
    for (int i = 0; i < ENGINES; i++) {
      report(i, incarnation, load);
    }
  }

  void report(int engine, long incarnation, int load) {
    LoadReport report = new LoadReport(id(engine), incarnation, time.nowMillis(), load, 0);
    routers.forEach(router -> router.facts().recordLoadReport(report));
  }

  /** Reports the numbers of requests in flight that the test has counted. */
  void reportActual() {
    for (int i = 0; i < ENGINES; i++) {
      report(i, 1, actual[i]);
    }
  }
}
