package org.ragworttide.coordination.orders;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.limits.RefusalReason;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when one daemon sends orders to one engine, and when it does not. */
public class OrdersTest {
  private static final UpstreamId ENGINE = new UpstreamId("engine-1");
  private static final Artifact MODEL = new Artifact(Artifact.Kind.MODEL, "m", "1");
  private static final Artifact ADAPTER = new Artifact(Artifact.Kind.ADAPTER, "a", "1");
  private static final EngineState EMPTY = new EngineState(0, Set.of(), Set.of(), "serve");
  private static final long LONG_MILLIS = 120_000;

  private ManualTimerService time;
  private List<EngineOrder> sent;
  private Consumer<OrderResult> pendingResult;
  private LimitDecision permit;
  private boolean owner;
  private Orders orders;

  /** Creates a daemon that owns the engine and gets permits to fetch. */
  @BeforeMethod
  public void create() {
    time = new ManualTimerService();
    sent = new ArrayList<>();
    permit = new LimitDecision.Admitted(false);
    owner = true;
    orders =
        new Orders(
            time,
            engine -> owner,
            (request, decision) -> decision.accept(permit),
            OrderSettings.DEFAULTS,
            "run");
    orders.apply(policy(5, MODEL, ADAPTER));
    orders.sendWith(
        (order, result) -> {
          sent.add(order);
          pendingResult = result;
        });
  }

  @Test
  public void eachOrderAllowsOneFetchAndModelsComeFirst() {
    report(1, EMPTY);
    answer(new OrderResult.Accepted());
    report(1, new EngineState(5, Set.of(MODEL), Set.of(), "serve"));
    assertEquals(
        sent.stream().map(order -> order.fetch().orElseThrow()).toList(), List.of(MODEL, ADAPTER));
    assertTrue(sent.stream().allMatch(order -> order.fencingNumber() == 5));
  }

  @Test
  public void noOrderIsSentToEngineThatHasWantedStateIsLoadingOrDoesNotReport() {
    time.advance(LONG_MILLIS);
    report(1, new EngineState(5, Set.of(MODEL), Set.of(ADAPTER), "serve"));
    assertEquals(reason(), PendingOrder.Reason.LOADING);
    report(1, new EngineState(5, Set.of(MODEL, ADAPTER), Set.of(), "serve"));
    assertTrue(orders.pending().isEmpty());
    report(1, EMPTY);
    assertEquals(sent.size(), 1);
    answer(new OrderResult.Lost("x"));
    time.advance(LONG_MILLIS);
    assertEquals(reason(), PendingOrder.Reason.NO_REPORT);
    assertTrue(sent.size() <= 2, "orders sent on stale reports: " + sent.size());
  }

  @Test
  public void noOrderIsSentToEngineThatAcceptedNewerOrder() {
    report(1, new EngineState(6, Set.of(), Set.of(), "other"));
    assertEquals(reason(), PendingOrder.Reason.SUPERSEDED);
    assertTrue(sent.isEmpty());
    orders.apply(policy(6, MODEL));
    time.advance(1_000);
    assertEquals(sent.size(), 1);
  }

  @Test
  public void ordersEndAfterAnswerThatNamesNewerOrder() {
    report(1, EMPTY);
    answer(new OrderResult.Outdated(9));
    time.advance(9_000);
    assertEquals(sent.size(), 1);
    assertEquals(reason(), PendingOrder.Reason.SUPERSEDED);
  }

  @Test
  public void engineThatDoesNotComplyIsOrderedAtIncreasingIntervals() {
    for (int second = 0; second < 300; second++) {
      report(1, EMPTY);
      if (pendingResult != null) {
        answer(new OrderResult.Refused("status 500"));
      }
    }
    assertTrue(sent.size() >= 10 && sent.size() <= 16, "orders in 300 s: " + sent.size());
  }

  @Test
  public void noOrderIsSentWithoutPermitOrToEngineOfAnotherDaemon() {
    permit = new LimitDecision.Refused(300, RefusalReason.RATE_EXCEEDED);
    report(1, EMPTY);
    assertEquals(reason(), PendingOrder.Reason.AWAITING_PERMIT);
    permit = new LimitDecision.Admitted(false);
    owner = false;
    report(1, EMPTY);
    assertTrue(sent.isEmpty());
  }

  @Test
  public void engineThatLoadsArtifactsOneByOneIsNotDelayedByBackoff() {
    Artifact[] many = new Artifact[12];
    Arrays.setAll(many, i -> new Artifact(Artifact.Kind.ADAPTER, "a" + i, "1"));
    orders.apply(policy(6, many));
    Set<Artifact> loaded = new HashSet<>();
    for (int second = 0; second < 40; second++) {
      report(1, new EngineState(sent.isEmpty() ? 0 : 6, loaded, Set.of(), "serve"));
      answer(new OrderResult.Accepted());
      sent.forEach(order -> order.fetch().ifPresent(loaded::add));
    }
    assertTrue(orders.pending().isEmpty(), "loaded in 40 s: " + loaded.size());
  }

  @Test
  public void onlyOneFetchPermitPerEngineIsRequestedAtTheSameTime() {
    List<String> requested = new ArrayList<>();
    Orders waiting =
        new Orders(
            time,
            engine -> true,
            (request, decision) -> requested.add(request),
            OrderSettings.DEFAULTS,
            "run");
    waiting.apply(policy(5, MODEL, ADAPTER));
    waiting.sendWith((order, result) -> sent.add(order));
    waiting.report(new EngineReport(ENGINE, 1, 0, Optional.of(EMPTY)));
    time.advance(4_000);
    assertEquals(requested.size(), 1);
  }

  @Test
  public void engineThatReportsNoStateIsOrderedEachArtifactOnceAndAgainAfterRestart() {
    for (int second = 0; second < 30; second++) {
      report(1, null);
      answer(new OrderResult.Accepted());
    }
    assertEquals(sent.size(), 2);
    assertTrue(orders.pending().isEmpty());
    report(2, null);
    assertEquals(sent.size(), 3);
  }

  @Test
  public void outOfRangeAndOldReportsAreCountedAndIgnored() {
    report(1, new EngineState(5, Set.of(MODEL, ADAPTER), Set.of(), "serve"));
    report(1, new EngineState(-1, Set.of(), Set.of(), "serve"));
    report(1, new EngineState(Long.MAX_VALUE, Set.of(), Set.of(), "serve"));
    orders.report(new EngineReport(ENGINE, 1, 0, Optional.of(EMPTY)));
    assertTrue(sent.isEmpty());
    assertEquals(orders.ignoredReports(), 3);
  }

  @Test
  public void olderConfigurationIsNotAppliedAndRemovedEnginesGetNoOrders() {
    orders.apply(policy(4, MODEL));
    report(1, EMPTY);
    assertEquals(sent.getFirst().fencingNumber(), 5);
    orders.apply(new OrderPolicy(6, Map.of(), Optional.empty()));
    time.advance(LONG_MILLIS);
    assertEquals(sent.size(), 1);
  }

  private PendingOrder.Reason reason() {
    return orders.pending().getFirst().reason();
  }

  private void report(long incarnation, EngineState state) {
    time.advance(1);
    orders.report(
        new EngineReport(ENGINE, incarnation, time.nowMillis(), Optional.ofNullable(state)));
    time.advance(999);
  }

  private void answer(OrderResult result) {
    Consumer<OrderResult> receiver = pendingResult;
    pendingResult = null;
    if (receiver != null) {
      receiver.accept(result);
    }
  }

  private static OrderPolicy policy(long version, Artifact... artifacts) {
    WantedState wanted = new WantedState(List.of(artifacts), "serve");
    return new OrderPolicy(version, Map.of(ENGINE, new EngineGoal(wanted, true)), Optional.empty());
  }
}
