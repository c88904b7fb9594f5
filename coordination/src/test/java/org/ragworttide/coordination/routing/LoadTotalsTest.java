package org.ragworttide.coordination.routing;

import static org.ragworttide.coordination.routing.RouterFixture.MODEL;
import static org.ragworttide.coordination.routing.RouterFixture.id;
import static org.ragworttide.coordination.routing.RouterFixture.zone;
import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the incrementally updated sums and order equal those recomputed over all upstreams.
 */
public class LoadTotalsTest {
  private static final ModelId OTHER_MODEL = new ModelId("other");
  private static final FleetPosition FLEET = new FleetPosition(7, 2);
  private static final RouterSettings SETTINGS = RouterSettings.DEFAULTS;
  private static final int ENGINES = 11;
  private static final int STEPS = 2_000;

  private final ManualTimerService time = new ManualTimerService();
  private final List<Slot> slots = new ArrayList<>();
  private RoutingState state;
  private RoutingFacts facts;
  private SplittableRandom random;

  /** Returns the seeds to run. */
  @DataProvider
  public static Object[][] seeds() {
    int count = Integer.getInteger("seeds", 20);
    long first = Long.getLong("seed", 20261204);
    Object[][] seeds = new Object[count][1];
    for (int i = 0; i < count; i++) {
      seeds[i][0] = first + i;
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void sumsAndOrderEqualRecomputedOnesAfterAnyFacts(long seed) {
    random = new SplittableRandom(seed);
    time.advance(1_000_000);
    slots.clear();
    state = new RoutingState(SETTINGS);
    facts = new RoutingFacts(state, SETTINGS, time);
    facts.upstreams(specs());
    for (int step = 0; step < STEPS; step++) {
      change();
      if (random.nextInt(3) > 0) {
        String failureMessage = "seed " + seed + " step " + step;
        compare(MODEL, failureMessage);
        compare(OTHER_MODEL, failureMessage);
      }
    }
  }

  private void change() {
    switch (random.nextInt(40)) {
      case 0 -> facts.upstreams(specs());
      case 1 -> facts.zones(Map.of(zone(random.nextInt(3)), ZoneState.OUT));
      case 2 -> facts.zones(Map.of());
      case 3 -> time.advance(random.nextLong(SETTINGS.rampMillis()));
      case 4 -> time.advance(random.nextLong(SETTINGS.reportStaleMillis()));
      case 5 -> report(random.nextLong(3));
      case 6 -> facts.updateMissingModels(id(random.nextInt(ENGINES)), Set.of(OTHER_MODEL));
      case 7 -> facts.updateMissingModels(id(random.nextInt(ENGINES)), Set.of());
      default -> changeLoads();
    }
  }

  private void changeLoads() {
    time.advance(random.nextLong(200));
    if (random.nextBoolean()) {
      report(1);
    }
    if (slots.isEmpty() || random.nextBoolean()) {
      start();
    } else {
      slots.remove(random.nextInt(slots.size())).release();
    }
  }

  private void start() {
    UpstreamTracker tracker = state.tracker(id(random.nextInt(ENGINES)));
    if (tracker != null) {
      Slot slot = new Slot(tracker, UpstreamGate.OPEN, state.chats(), 1, time.nowMillis());
      tracker.add(slot);
      state.chats().recordStart(1);
      slots.add(slot);
    }
  }

  private void report(long incarnation) {
    long measured = time.nowMillis() - random.nextLong(3_000) + 500;
    UpstreamId upstream = id(random.nextInt(ENGINES));
    facts.recordLoadReport(new LoadReport(upstream, incarnation, measured, random.nextInt(40), 0));
  }

  private List<UpstreamSpec> specs() {
    List<UpstreamSpec> specs = new ArrayList<>();
    for (int i = 0; i < ENGINES; i++) {
      if (i < 2 || random.nextInt(8) > 0) {
        Set<ModelId> models = i % 2 == 0 ? Set.of(MODEL) : Set.of(MODEL, OTHER_MODEL);
        boolean inService = random.nextInt(8) > 0;
        specs.add(new UpstreamSpec(id(i), zone(i % 3), models, inService, 2, 1_000));
      }
    }
    return specs;
  }

  private void compare(ModelId model, String failureMessage) {
    Set<UpstreamId> tried = random.nextBoolean() ? Set.of() : Set.of(id(random.nextInt(ENGINES)));
    ChatId chat = new ChatId("chat-" + random.nextInt(100));
    RouteRequest request = new RouteRequest(chat, model, new OrganisationId("org"), tried);
    List<UpstreamTracker> open = new ArrayList<>();
    for (UpstreamTracker tracker : state.trackers()) {
      if (tracker.spec().models().contains(model) && tracker.isOpenFor(model)) {
        open.add(tracker);
      }
    }
    CandidateSet set = state.candidates(model);
    set.begin(Rendezvous.hash(chat.value()), request, FLEET, time.nowMillis());
    assertEquals(set.openCount(), open.size(), failureMessage);
    assertEquals(set.meanLoad(), recomputedMeanLoad(open), failureMessage);
    assertEquals(set.meanOwnRequests(), recomputedMeanOwnRequests(open), failureMessage);
    assertEquals(order(set), recomputedOrder(open, chat, tried), failureMessage);
  }

  private double recomputedMeanLoad(List<UpstreamTracker> open) {
    long reported = 0;
    long unreported = 0;
    double shares = 0;
    double maxShare = 0.02;
    int fresh = 0;
    for (UpstreamTracker tracker : open) {
      double share = Math.max(0.02, tracker.share(time.nowMillis()));
      maxShare = Math.max(maxShare, share);
      if (tracker.isFresh(time.nowMillis(), SETTINGS.reportStaleMillis())) {
        fresh++;
        shares += share;
        reported += tracker.reported();
        unreported += tracker.unreported();
      }
    }
    if (fresh == 0) {
      return 0;
    }
    double scale = FLEET.scale((double) unreported / fresh);
    return (reported + scale * unreported + 1) * maxShare / shares;
  }

  private static double recomputedMeanOwnRequests(List<UpstreamTracker> open) {
    long own = open.stream().mapToLong(UpstreamTracker::inFlight).sum();
    return open.isEmpty() ? 0 : (own + 1.0) / open.size();
  }

  private static List<UpstreamId> order(CandidateSet set) {
    List<UpstreamId> order = new ArrayList<>();
    for (int i = set.next(); i >= 0; i = set.next()) {
      order.add(set.tracker(i).spec().id());
    }
    return order;
  }

  private static List<UpstreamId> recomputedOrder(
      List<UpstreamTracker> open, ChatId chat, Set<UpstreamId> tried) {
    List<UpstreamId> remaining = new ArrayList<>();
    open.forEach(tracker -> remaining.add(tracker.spec().id()));
    remaining.removeAll(tried);
    return Rendezvous.order(chat.value(), remaining, UpstreamId::value);
  }
}
