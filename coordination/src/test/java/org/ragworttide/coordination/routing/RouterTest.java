package org.ragworttide.coordination.routing;

import static org.ragworttide.coordination.routing.RouterFixture.ENGINES;
import static org.ragworttide.coordination.routing.RouterFixture.MODEL;
import static org.ragworttide.coordination.routing.RouterFixture.chosen;
import static org.ragworttide.coordination.routing.RouterFixture.id;
import static org.ragworttide.coordination.routing.RouterFixture.request;
import static org.ragworttide.coordination.routing.RouterFixture.spec;
import static org.ragworttide.coordination.routing.RouterFixture.specs;
import static org.ragworttide.coordination.routing.RouterFixture.zone;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.testng.annotations.Test;

/** Tests single decisions of the router. */
public class RouterTest {
  private static final int CHATS = 400;

  private static UpstreamId routeAndRelease(Router router, String chat) {
    Slot slot = chosen(router.route(request(chat)));
    slot.release();
    return slot.upstream();
  }

  @Test
  public void everyDaemonSendsChatToSameEngine() {
    RouterFixture fleet = new RouterFixture(7);
    fleet.reportAll(1, 10);
    for (int chat = 0; chat < CHATS; chat++) {
      Set<UpstreamId> upstreams = new HashSet<>();
      for (Router router : fleet.routers) {
        upstreams.add(routeAndRelease(router, "chat-" + chat));
      }
      assertEquals(upstreams.size(), 1, "chat " + chat);
    }
  }

  @Test
  public void engineWithoutLoadedModelReceivesNoRequestUntilItIsLoaded() {
    RouterFixture fleet = new RouterFixture(1);
    fleet.reportAll(1, 10);
    Router router = fleet.routers.getFirst();
    for (int chat = 0; chat < CHATS; chat++) {
      final UpstreamId homeEngine = routeAndRelease(router, "chat-" + chat);
      router.facts().updateMissingModels(homeEngine, Set.of(RouterFixture.MODEL));
      router.facts().upstreams(specs(ENGINES));
      assertNotEquals(routeAndRelease(router, "chat-" + chat), homeEngine);
      router.facts().updateMissingModels(homeEngine, Set.of());
      assertEquals(routeAndRelease(router, "chat-" + chat), homeEngine);
    }
    for (int engine = 0; engine < ENGINES; engine++) {
      router.facts().updateMissingModels(id(engine), Set.of(RouterFixture.MODEL));
    }
    assertEquals(
        ((RouteResult.Refused) router.route(request("chat"))).reason(),
        RefusalReason.OUT_OF_SERVICE);
  }

  @Test
  public void onlyChatsOfLeavingOrRemovedEngineMove() {
    RouterFixture fleet = new RouterFixture(1);
    fleet.reportAll(1, 10);
    Router router = fleet.routers.getFirst();
    for (int chat = 0; chat < CHATS; chat++) {
      router.facts().upstreams(specs(ENGINES));
      fleet.time.advance(RouterSettings.DEFAULTS.rampMillis());
      fleet.reportAll(1, 10);
      final UpstreamId before = routeAndRelease(router, "chat-" + chat);
      List<UpstreamSpec> changed = specs(ENGINES);
      if (chat % 2 == 0) {
        changed.set(4, spec(4, false));
      } else {
        changed.remove(4);
      }
      router.facts().upstreams(changed);
      UpstreamId after = routeAndRelease(router, "chat-" + chat);
      if (before.equals(id(4))) {
        assertNotEquals(after, id(4));
      } else {
        assertEquals(after, before);
      }
    }
  }

  @Test
  public void zoneTakenOutImmediatelyReceivesNothing() {
    RouterFixture fleet = new RouterFixture(1);
    Router router = fleet.routers.getFirst();
    router.facts().zones(Map.of(zone(1), ZoneState.OUT));
    for (int chat = 0; chat < CHATS; chat++) {
      UpstreamId chosen = chosen(router.route(request("chat-" + chat))).upstream();
      assertNotEquals(RouterFixture.index(chosen) % 3, 1);
    }
  }

  @Test
  public void returningZoneRegainsItsChatsGradually() {
    RouterFixture fleet = new RouterFixture(1);
    Router router = fleet.routers.getFirst();
    router.facts().zones(Map.of(zone(1), ZoneState.OUT));
    fleet.time.advance(RouterSettings.DEFAULTS.rampMillis());
    router.facts().zones(Map.of());
    int last = -1;
    for (int step = 0; step <= 4; step++) {
      fleet.reportAll(1, 0);
      int chatsInZone = 0;
      for (int chat = 0; chat < CHATS; chat++) {
        chatsInZone +=
            RouterFixture.index(routeAndRelease(router, "chat-" + chat)) % 3 == 1 ? 1 : 0;
      }
      assertTrue(chatsInZone >= last, "chats in the zone fell from " + last + " to " + chatsInZone);
      assertTrue(step > 0 || chatsInZone < CHATS / 20, "chats that came at once: " + chatsInZone);
      last = chatsInZone;
      fleet.time.advance(RouterSettings.DEFAULTS.rampMillis() / 4);
    }
    assertTrue(last > CHATS / 5, "chats in the zone at the end: " + last);
  }

  @Test
  public void flappingEngineRampsUpOnlyAsLongAsItWasClosed() {
    RouterFixture fleet = new RouterFixture(1);
    fleet.reportAll(1, 10);
    Router router = fleet.routers.getFirst();
    List<UpstreamSpec> without = specs(ENGINES);
    without.set(4, spec(4, false));
    Set<Integer> chatsOfEngine = new HashSet<>();
    for (int chat = 0; chat < CHATS; chat++) {
      if (routeAndRelease(router, "chat-" + chat).equals(id(4))) {
        chatsOfEngine.add(chat);
      }
    }
    router.facts().upstreams(without);
    fleet.time.advance(3_000);
    router.facts().upstreams(specs(ENGINES));
    chatsOfEngine.forEach(chat -> assertNotEquals(routeAndRelease(router, "chat-" + chat), id(4)));
    fleet.time.advance(3_000);
    chatsOfEngine.forEach(chat -> assertEquals(routeAndRelease(router, "chat-" + chat), id(4)));
  }

  @Test
  public void engineAboveItsBoundReceivesNothing() {
    RouterFixture fleet = new RouterFixture(1);
    fleet.reportAll(1, 10);
    fleet.time.advance(1);
    fleet.report(3, 1, 30);
    for (int chat = 0; chat < CHATS; chat++) {
      assertNotEquals(routeAndRelease(fleet.routers.getFirst(), "chat-" + chat), id(3));
    }
  }

  @Test
  public void loadThatRisesFasterThanByChanceIsExtrapolated() {
    RouterFixture fleet = new RouterFixture(1);
    fleet.reportAll(1, 10);
    fleet.time.advance(1_000);
    fleet.report(3, 1, 14);
    fleet.time.advance(1_000);
    for (int chat = 0; chat < CHATS; chat++) {
      assertNotEquals(routeAndRelease(fleet.routers.getFirst(), "chat-" + chat), id(3));
    }
  }

  @Test
  public void chatWithManyRequestsInFlightIsSpreadOverEngines() {
    RouterFixture fleet = new RouterFixture(7);
    fleet.reportAll(1, 10);
    Set<UpstreamId> parallel = new HashSet<>();
    Set<UpstreamId> sequential = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      parallel.add(chosen(fleet.routers.get(0).route(request("hot"))).upstream());
      sequential.add(routeAndRelease(fleet.routers.get(1), "hot"));
    }
    assertTrue(parallel.size() >= 6, "engines used: " + parallel.size());
    assertEquals(sequential.size(), 1);
  }

  @Test
  public void triedEnginesAreNotChosenAgain() {
    RouterFixture fleet = new RouterFixture(1);
    Router router = fleet.routers.getFirst();
    Set<UpstreamId> tried = new HashSet<>();
    for (int i = 0; i < ENGINES; i++) {
      RouteRequest request =
          new RouteRequest(new ChatId("c"), MODEL, new OrganisationId("o"), Set.copyOf(tried));
      assertTrue(tried.add(chosen(router.route(request)).upstream()));
    }
    RouteRequest last = new RouteRequest(new ChatId("c"), MODEL, new OrganisationId("o"), tried);
    assertEquals(reason(router.route(last)), RefusalReason.ALL_TRIED);
  }

  @Test
  public void refusalsStateTheirReason() {
    RouterFixture fleet = new RouterFixture(1, new ClosedGate());
    Router router = fleet.routers.getFirst();
    assertEquals(reason(router.route(request("a"))), RefusalReason.HELD_BACK);
    router.facts().zones(Map.of(zone(0), ZoneState.OUT, zone(1), ZoneState.OUT));
    router.facts().upstreams(List.of(spec(0, true), spec(2, false)));
    assertEquals(reason(router.route(request("a"))), RefusalReason.OUT_OF_SERVICE);
    router.facts().upstreams(List.of(spec(2, true)));
    fleet.report(2, 1, 1000);
    assertEquals(reason(router.route(request("a"))), RefusalReason.OVERLOADED);
    RouteRequest other =
        new RouteRequest(new ChatId("a"), new ModelId("other"), new OrganisationId("o"), Set.of());
    assertEquals(reason(router.route(other)), RefusalReason.NO_UPSTREAM);
  }

  @Test
  public void fewChatsRequestPlacesAtTheLeastLoadedUpstream() {
    CountingGate gate = new CountingGate();
    RouterFixture fleet = new RouterFixture(1, gate);
    Router router = fleet.routers.getFirst();
    int engines = 60;
    router.facts().upstreams(specs(engines));
    for (int engine = 0; engine < engines; engine++) {
      fleet.report(engine, 1, engine == 0 ? 0 : 10);
    }
    for (int chat = 0; chat < CHATS; chat++) {
      assertEquals(reason(router.route(request("chat-" + chat))), RefusalReason.HELD_BACK);
    }
    int evenly = 2 * RouterSettings.DEFAULTS.walkLength() * CHATS / engines;
    assertTrue(
        gate.attempts.get(id(0)) <= 2 * evenly, "attempted " + gate.attempts.get(id(0)) + " times");
  }

  @Test
  public void placeOwnedByTheDaemonIsTakenWithoutRequestingOne() {
    CountingGate gate = new CountingGate();
    gate.open.add(id(5));
    RouterFixture fleet = new RouterFixture(1, gate);
    for (int chat = 0; chat < CHATS; chat++) {
      UpstreamId chosen = routeAndRelease(fleet.routers.getFirst(), "chat-" + chat);
      assertEquals(chosen, id(5));
    }
  }

  @Test
  public void impossibleFactsAreCountedAndIgnored() {
    RouterFixture fleet = new RouterFixture(1);
    Router router = fleet.routers.getFirst();
    fleet.reportAll(1, 10);
    final UpstreamId before = routeAndRelease(router, "chat");
    RoutingFacts facts = router.facts();
    long now = fleet.time.nowMillis();
    facts.upstreams(List.of());
    facts.upstreams(List.of(spec(0, true), spec(0, true)));
    facts.recordLoadReport(new LoadReport(id(0), 1, now + 1, -1, 0));
    facts.recordLoadReport(new LoadReport(id(0), 1, now + 1, Long.MAX_VALUE, Long.MAX_VALUE));
    facts.recordLoadReport(new LoadReport(id(0), 1, now + 3_600_000, 1, 0));
    facts.recordLoadReport(new LoadReport(id(0), 1, now - 5, 1, 0));
    facts.recordLoadReport(new LoadReport(new UpstreamId("nobody"), 1, now, 1, 0));
    facts.recordCacheEvent(new CacheEvent(id(0), 5, new ChatId("other"), true));
    facts.recordCacheEvent(new CacheEvent(id(0), 4, new ChatId("other"), false));
    facts.fleet(0, 0);
    facts.fleet(3, 3);
    RoutingView view = router.view();
    assertEquals(view.ignored(IgnoredFact.EMPTY_UPSTREAMS), 1);
    assertEquals(view.ignored(IgnoredFact.DUPLICATE_UPSTREAM), 1);
    assertEquals(view.ignored(IgnoredFact.ABSURD_LOAD), 2);
    assertEquals(view.ignored(IgnoredFact.FUTURE_REPORT), 1);
    assertEquals(view.ignored(IgnoredFact.OLD_REPORT), 1);
    assertEquals(view.ignored(IgnoredFact.UNKNOWN_UPSTREAM), 1);
    assertEquals(view.ignored(IgnoredFact.OLD_CACHE_EVENT), 1);
    assertEquals(view.ignored(IgnoredFact.ABSURD_FLEET), 2);
    assertEquals(routeAndRelease(router, "chat"), before);
  }

  @Test
  public void secondReleaseHasNoEffect() {
    RouterFixture fleet = new RouterFixture(1);
    Router router = fleet.routers.getFirst();
    List<Slot> slots =
        List.of(request("a"), request("b"), request("c")).stream()
            .map(request -> chosen(router.route(request)))
            .toList();
    slots.get(1).release();
    slots.get(1).release();
    int total = 0;
    for (int i = 0; i < ENGINES; i++) {
      total += router.view().inFlight(id(i));
    }
    assertEquals(total, 2);
  }

  private static RefusalReason reason(RouteResult result) {
    return ((RouteResult.Refused) result).reason();
  }

  private static final class CountingGate implements UpstreamGate {
    final Map<UpstreamId, Integer> attempts = new HashMap<>();
    final Set<UpstreamId> open = new HashSet<>();

    @Override
    public boolean tryEnter(UpstreamId upstream) {
      attempts.merge(upstream, 1, Integer::sum);
      return tryEnterLocally(upstream);
    }

    @Override
    public boolean tryEnterLocally(UpstreamId upstream) {
      return open.contains(upstream);
    }

    @Override
    public void leave(UpstreamId upstream) {}
  }

  private static final class ClosedGate implements UpstreamGate {
    @Override
    public boolean tryEnter(UpstreamId upstream) {
      return false;
    }

    @Override
    public void leave(UpstreamId upstream) {
      throw new AssertionError("leave was called without a place");
    }
  }
}
