package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.routing.CacheEvent;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.routing.RouteResult;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.routing.Slot;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.routing.UpstreamSpec;
import org.ragworttide.coordination.time.TimerService;

/**
 * Strategy that uses the production router, with one instance per daemon; confined to one thread.
 */
final class RouterStrategy implements Strategy {
  static final ModelId MODEL = new ModelId("model");
  static final OrganisationId ORGANISATION = new OrganisationId("organisation");
  static final int COLD_LIMIT = 8;
  private static final int MAX_IN_FLIGHT = 10_000;

  private final List<Router> routers = new ArrayList<>();
  private final boolean useReports;
  private final boolean useHints;
  private final FleetSize size;
  private final int maxInFlight;

  RouterStrategy(
      FleetSize size, RouterSettings settings, TimerService time, boolean reports, boolean hints) {
    this(size, settings, time, reports, hints, MAX_IN_FLIGHT, daemon -> UpstreamGate.OPEN);
  }

  private RouterStrategy(
      FleetSize size,
      RouterSettings settings,
      TimerService time,
      boolean reports,
      boolean hints,
      int maxInFlight,
      IntFunction<UpstreamGate> gates) {
    this.size = size;
    this.maxInFlight = maxInFlight;
    this.useReports = reports;
    this.useHints = hints;
    boolean[] all = new boolean[size.engines()];
    Arrays.fill(all, true);
    for (int daemon = 0; daemon < size.daemons(); daemon++) {
      Router router = new Router(time, settings, gates.apply(daemon));
      router.facts().fleet(size.daemons(), daemon);
      routers.add(router);
      setInService(daemon, all);
    }
  }

  /** Returns routers for engines that serve a limited number of concurrent requests. */
  static RouterStrategy limited(FleetSize size, TimerService time, int maxInFlight) {
    RouterSettings settings = RouterSettings.DEFAULTS.withHintEntries(0);
    return new RouterStrategy(
        size, settings, time, true, false, maxInFlight, daemon -> UpstreamGate.OPEN);
  }

  /** Returns routers that each have their own gate. */
  static RouterStrategy gated(FleetSize size, TimerService time, IntFunction<UpstreamGate> gates) {
    RouterSettings settings = RouterSettings.DEFAULTS.withHintEntries(0);
    return new RouterStrategy(size, settings, time, true, false, MAX_IN_FLIGHT, gates);
  }

  static UpstreamId id(int engine) {
    return new UpstreamId("engine-" + engine);
  }

  static UpstreamSpec spec(int engine, boolean inService, int maxInFlight) {
    ZoneId zone = new ZoneId("zone-" + engine % FleetSize.ZONES);
    return new UpstreamSpec(id(engine), zone, Set.of(MODEL), inService, COLD_LIMIT, maxInFlight);
  }

  static RouteRequest request(int chat) {
    return new RouteRequest(new ChatId("chat-" + chat), MODEL, ORGANISATION, Set.of());
  }

  @Override
  public Choice choose(int daemon, int chat) {
    return choose(daemon, request(chat));
  }

  /** Returns the engine for a request that may already have failed on other engines. */
  Choice choose(int daemon, RouteRequest request) {
    RouteResult result = routers.get(daemon).route(request);
    if (result instanceof RouteResult.Chosen(Slot slot)) {
      int engine = Integer.parseInt(slot.upstream().value().substring("engine-".length()));
      return new Choice(engine, slot::release);
    }
    return null;
  }

  @Override
  public void recordLoad(int engine, long incarnation, long measuredAtMillis, int load) {
    if (useReports) {
      LoadReport report = new LoadReport(id(engine), incarnation, measuredAtMillis, load, 0);
      routers.forEach(router -> router.facts().recordLoadReport(report));
    }
  }

  @Override
  public void setInService(int daemon, boolean[] inService) {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int engine = 0; engine < size.engines(); engine++) {
      specs.add(spec(engine, inService[engine], maxInFlight));
    }
    routers.get(daemon).facts().upstreams(specs);
  }

  @Override
  public void recordCached(int engine, long sequence, int chat) {
    if (useHints) {
      CacheEvent event = new CacheEvent(id(engine), sequence, new ChatId("chat-" + chat), true);
      routers.forEach(router -> router.facts().recordCacheEvent(event));
    }
  }
}
