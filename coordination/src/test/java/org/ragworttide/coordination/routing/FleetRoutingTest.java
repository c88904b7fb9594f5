package org.ragworttide.coordination.routing;

import static org.ragworttide.coordination.routing.RouterFixture.ENGINES;
import static org.ragworttide.coordination.routing.RouterFixture.chosen;
import static org.ragworttide.coordination.routing.RouterFixture.index;
import static org.ragworttide.coordination.routing.RouterFixture.request;
import static org.ragworttide.coordination.routing.RouterFixture.spec;
import static org.ragworttide.coordination.routing.RouterFixture.zone;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests a fleet of seven daemons while engines and zones join and leave and reports are delayed or
 * stall.
 */
public class FleetRoutingTest {
  private static final int DAEMONS = 7;
  private static final int VIEW_LAG_MILLIS = 3_000;
  private static final int REPORT_LAG_MILLIS = 1_000;
  private static final int ANSWER_MILLIS = 8_000;
  private static final int STEP_MILLIS = 50;
  private static final int IN_FLIGHT = 160;

  private SplittableRandom random;
  private RouterFixture fleet;
  private boolean[] inService;
  private Map<ZoneId, ZoneState> zones;
  private boolean stalled;
  private long[] closedSinceMillis;
  private long published;
  private long[] appliedVersions;

  /** Returns the seeds to run. */
  @DataProvider
  public static Object[][] seeds() {
    int count = Integer.getInteger("seeds", 40);
    long first = Long.getLong("seed", 20261204);
    Object[][] seeds = new Object[count][1];
    for (int i = 0; i < count; i++) {
      seeds[i][0] = first + i;
    }
    return seeds;
  }

  private void start(long seed) {
    random = new SplittableRandom(seed);
    fleet = new RouterFixture(DAEMONS);
    inService = new boolean[ENGINES];
    closedSinceMillis = new long[ENGINES];
    Arrays.fill(inService, true);
    Arrays.fill(closedSinceMillis, Long.MAX_VALUE);
    zones = new HashMap<>();
    stalled = false;
    published = 0;
    appliedVersions = new long[DAEMONS];
    fleet.time.every(1_000, this::report);
  }

  private void report() {
    for (int i = 0; i < ENGINES && !stalled; i++) {
      int engine = i;
      LoadReport report =
          new LoadReport(RouterFixture.id(i), 1, fleet.time.nowMillis(), fleet.actual[engine], 0);
      for (Router router : fleet.routers) {
        fleet.time.after(
            random.nextLong(REPORT_LAG_MILLIS), () -> router.facts().recordLoadReport(report));
      }
    }
  }

  /** Publishes the state, which each daemon receives after its own random delay. */
  private void publish() {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      specs.add(spec(i, inService[i]));
      boolean closed = !inService[i] || zones.containsKey(zone(i % 3));
      long since = Math.min(closedSinceMillis[i], fleet.time.nowMillis());
      closedSinceMillis[i] = closed ? since : Long.MAX_VALUE;
    }
    Map<ZoneId, ZoneState> states = Map.copyOf(zones);
    long version = ++published;
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
      int receiver = daemon;
      fleet.time.after(
          random.nextLong(VIEW_LAG_MILLIS), () -> applyView(receiver, version, specs, states));
    }
  }

  private void applyView(
      int daemon, long version, List<UpstreamSpec> specs, Map<ZoneId, ZoneState> states) {
    if (version > appliedVersions[daemon]) {
      appliedVersions[daemon] = version;
      fleet.routers.get(daemon).facts().upstreams(specs);
      fleet.routers.get(daemon).facts().zones(states);
    }
  }

  private Slot send(String chat) {
    Router router = fleet.routers.get(random.nextInt(DAEMONS));
    Slot slot = chosen(router.route(request(chat)));
    int engine = index(slot.upstream());
    fleet.actual[engine]++;
    long answer = ANSWER_MILLIS / 2 + random.nextLong(ANSWER_MILLIS);
    fleet.time.after(
        answer,
        () -> {
          fleet.actual[engine]--;
          slot.release();
        });
    return slot;
  }

  private void applyRandomDisturbance() {
    int engine = random.nextInt(ENGINES);
    switch (random.nextInt(5)) {
      case 0 -> inService[engine] = false;
      case 1 -> inService[engine] = true;
      case 2 -> zones = zones.isEmpty() ? Map.of(zone(1), ZoneState.OUT) : Map.of();
      case 3 -> stalled = !stalled;
      default -> flap(engine);
    }
    publish();
  }

  private void flap(int engine) {
    inService[engine] = false;
    fleet.time.after(
        2_000,
        () -> {
          inService[engine] = true;
          publish();
        });
  }

  private void settle() {
    Arrays.fill(inService, true);
    zones = Map.of();
    stalled = false;
    publish();
    fleet.time.advance(2 * RouterSettings.DEFAULTS.rampMillis() + 2 * VIEW_LAG_MILLIS);
  }

  @Test(dataProvider = "seeds")
  public void closedEnginesReceiveNothingOnceEveryDaemonHasTheNewState(long seed) {
    start(seed);
    for (int step = 0; step < 2_000; step++) {
      if (step % 100 == 99) {
        applyRandomDisturbance();
      }
      int engine = index(send("chat-" + random.nextInt(500)).upstream());
      long closed = fleet.time.nowMillis() - closedSinceMillis[engine];
      assertTrue(closed <= VIEW_LAG_MILLIS, "closed for " + closed + " ms, seed " + seed);
      fleet.time.advance(STEP_MILLIS);
    }
  }

  @Test(dataProvider = "seeds")
  public void daemonsChooseTheSameEngineForEveryChatAfterDisturbances(long seed) {
    start(seed);
    for (int round = 0; round < 10; round++) {
      applyRandomDisturbance();
      send("chat-" + round);
      fleet.time.advance(random.nextLong(5_000));
    }
    settle();
    for (int chat = 0; chat < 100; chat++) {
      Set<UpstreamId> upstreams = new HashSet<>();
      for (Router router : fleet.routers) {
        Slot slot = chosen(router.route(request("chat-" + chat)));
        slot.release();
        upstreams.add(slot.upstream());
      }
      assertEquals(upstreams.size(), 1, "chat " + chat + " seed " + seed);
    }
  }

  @Test(dataProvider = "seeds")
  public void loadStaysWithinMultipleWhileZoneIsTakenOutAndReportsStall(long seed) {
    start(seed);
    for (int step = 0; step < 1_500; step++) {
      if (step == 500) {
        zones = Map.of(zone(1), ZoneState.OUT);
        stalled = true;
        publish();
      }
      send("chat-" + random.nextInt(2_000));
      fleet.time.advance(STEP_MILLIS);
      if (step > 300 && step < 500 || step > 900) {
        checkLoads(step < 500 ? ENGINES : ENGINES - 4, seed);
      }
    }
  }

  @Test
  public void manyDaemonsDoNotOverloadTheEngineWithTheLowestStaleLoad() {
    int daemons = 350;
    RouterFixture largeFleet = new RouterFixture(daemons);
    largeFleet.reportAll(1, 50);
    largeFleet.time.advance(1_000);
    largeFleet.report(3, 1, 5);
    largeFleet.time.advance(2 * RouterSettings.DEFAULTS.reportStaleMillis());
    int[] load = new int[ENGINES];
    for (int i = 0; i < 3 * daemons; i++) {
      Slot slot = chosen(largeFleet.routers.get(i % daemons).route(request("chat-" + i)));
      load[index(slot.upstream())]++;
    }
    int highest = Arrays.stream(load).max().orElseThrow();
    double mean = 3.0 * daemons / ENGINES;
    assertTrue(
        highest <= RouterSettings.DEFAULTS.loadMultiple() * mean,
        highest + " at a mean of " + mean);
  }

  private void checkLoads(int open, long seed) {
    int total = 0;
    int highest = 0;
    for (int i = 0; i < ENGINES; i++) {
      boolean closed = zones.containsKey(zone(i % 3));
      total += closed ? 0 : fleet.actual[i];
      highest = Math.max(highest, closed ? 0 : fleet.actual[i]);
    }
    double mean = (double) total / open;
    double bound = RouterSettings.DEFAULTS.loadMultiple() * mean + Math.sqrt(IN_FLIGHT / open);
    assertTrue(highest <= bound, highest + " at a mean of " + mean + ", seed " + seed);
  }
}
