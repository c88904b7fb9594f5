package org.ragworttide.coordination;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.RateChecker;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.net.Fleet;
import org.ragworttide.coordination.net.NodeTimers;
import org.ragworttide.coordination.orders.Artifact;
import org.ragworttide.coordination.orders.EngineGoal;
import org.ragworttide.coordination.orders.EngineOrder;
import org.ragworttide.coordination.orders.EngineReport;
import org.ragworttide.coordination.orders.OrderPolicy;
import org.ragworttide.coordination.orders.OrderResult;
import org.ragworttide.coordination.orders.WantedState;

/**
 * Simulates a fleet of coordinators and the engines that they order, with delayed, lost and
 * reordered orders and answers.
 *
 * <p>Invariants, checked at each order: orders with the same fencing number want the same state;
 * the permitted fetches do not exceed the limit of the weight store. Used by one thread.
 */
final class OrderFleet implements Fleet.Factory<Coordinator> {
  static final RateLimit STORE_LIMIT = new RateLimit(2, 3);
  private static final OrganisationId STORE_NAME = new OrganisationId("#weight-store");
  private static final long STEP_MILLIS = 20;
  private static final long REPORT_STEPS = 25;

  final List<OrderedEngine> engines = new ArrayList<>();
  final Fleet<Coordinator> fleet;
  private final SplittableRandom random;
  private final RateChecker checker = new RateChecker();
  private final List<OrderPolicy> policies = new ArrayList<>();
  private final Map<Coordinator, NodeTimers> timers = new HashMap<>();
  private final Map<Coordinator, Long> versions = new HashMap<>();
  private final Map<String, WantedState> wantedByNumber = new HashMap<>();
  private final PriorityQueue<DelayedAction> delayed = new PriorityQueue<>();
  private long nowMillis;
  private long steps;
  private long sent;
  double lossShare;
  long maxDelayMillis = 20;

  OrderFleet(long seed, int engineCount, String... vms) {
    for (int i = 0; i < engineCount; i++) {
      engines.add(new OrderedEngine("engine-" + i, i % 2 == 0));
    }
    random = new SplittableRandom(seed);
    // Clock rates in a test fleet differ by up to 0.8 %, eight times what the limits tolerate.
    checker.setLimit(
        STORE_NAME, new RateLimit(STORE_LIMIT.ratePerSecond() * 1.01, STORE_LIMIT.burst()), 0);
    publishWanted("v1");
    fleet = new Fleet<>(seed, this);
    fleet.publish(vms);
  }

  /** Publishes a configuration that wants the given model version; daemons adopt it later. */
  void publishWanted(String modelVersion) {
    Artifact model = new Artifact(Artifact.Kind.MODEL, "m", modelVersion);
    Map<UpstreamId, EngineGoal> goals = new HashMap<>();
    for (OrderedEngine engine : engines) {
      WantedState wanted = new WantedState(List.of(model), "role-" + modelVersion);
      goals.put(engine.id, new EngineGoal(wanted, engine.checksFencing()));
    }
    policies.add(new OrderPolicy(policies.size() + 1L, goals, Optional.of(STORE_LIMIT)));
  }

  void adoptNewest(VmId vm) {
    apply(fleet.stateMachine(vm), policies.size());
  }

  void adoptEverywhere() {
    fleet.vms().forEach(this::adoptNewest);
  }

  void run(long millis, Consumer<OrderFleet> check) {
    for (long end = nowMillis + millis; nowMillis < end; steps++) {
      fleet.run(STEP_MILLIS, STEP_MILLIS, unused -> nowMillis += STEP_MILLIS);
      while (!delayed.isEmpty() && delayed.peek().atMillis <= nowMillis) {
        delayed.poll().action.run();
      }
      engines.forEach(engine -> engine.finishLoading(nowMillis));
      if (steps % REPORT_STEPS == 0) {
        engines.forEach(this::report);
      }
      check.accept(this);
    }
  }

  void run(long millis) {
    run(millis, unused -> {});
  }

  /** Returns a description of the engines and of the pending orders of each daemon. */
  String state() {
    StringBuilder text = new StringBuilder();
    engines.forEach(engine -> text.append(engine.report(0)).append('\n'));
    for (VmId vm : fleet.vms()) {
      Coordinator coordinator = fleet.stateMachine(vm);
      text.append(vm).append(" version ").append(versions.get(coordinator));
      text.append(" owns ").append(coordinator.leases().owned().size()).append(' ');
      text.append(coordinator.orders().pending()).append('\n');
    }
    return text.toString();
  }

  boolean allHaveWantedState() {
    OrderPolicy newest = policies.getLast();
    return engines.stream()
        .allMatch(engine -> engine.hasState(newest.goals().get(engine.id).wanted()));
  }

  long sent() {
    return sent;
  }

  /** Returns an order of a past version, which a daemon may still send after a long pause. */
  EngineOrder order(OrderedEngine engine, int version) {
    WantedState wanted = policies.get(version - 1).goals().get(engine.id).wanted();
    Optional<Artifact> fetch = Optional.of(wanted.artifacts().getFirst());
    return new EngineOrder(engine.id, version, wanted, fetch);
  }

  OrderResult deliverOrder(EngineOrder order) {
    return engine(order.engine()).receive(order, nowMillis);
  }

  private OrderedEngine engine(UpstreamId id) {
    return engines.stream().filter(engine -> engine.id.equals(id)).findFirst().orElseThrow();
  }

  private void report(OrderedEngine engine) {
    EngineReport report = engine.report(0);
    long lag = random.nextLong(400);
    for (VmId vm : fleet.vms()) {
      Coordinator coordinator = fleet.stateMachine(vm);
      long measured = timers.get(coordinator).nowMillis();
      EngineReport own =
          new EngineReport(engine.id, report.incarnation(), measured, report.state());
      after(lag, () -> timers.get(coordinator).run(() -> coordinator.orders().report(own)));
    }
  }

  private void send(Coordinator from, EngineOrder order, Consumer<OrderResult> result) {
    sent++;
    String name = order.engine() + "/" + order.fencingNumber();
    assertEquals(order.wanted(), wantedByNumber.computeIfAbsent(name, n -> order.wanted()));
    if (order.fetch().isPresent()) {
      checker.recordAdmission(STORE_NAME, "fetch-" + sent, nowMillis);
      assertEquals(checker.overshoot(), 0.0, "more fetches than the store allows");
    }
    if (random.nextDouble() < lossShare) {
      return;
    }
    after(
        random.nextLong(maxDelayMillis),
        () -> {
          OrderResult answer = deliverOrder(order);
          if (random.nextDouble() >= lossShare) {
            after(
                random.nextLong(maxDelayMillis),
                () -> timers.get(from).run(() -> result.accept(answer)));
          }
        });
  }

  private void after(long millis, Runnable action) {
    delayed.add(new DelayedAction(nowMillis + millis, steps, action));
  }

  private void apply(Coordinator coordinator, long version) {
    if (version > versions.getOrDefault(coordinator, 0L)) {
      versions.put(coordinator, version);
      FleetPolicy policy =
          new FleetPolicy(
              Map.of(), Map.of(), Map.of(), List.of(), Map.of(), policies.get((int) version - 1));
      timers.get(coordinator).run(() -> coordinator.apply(policy));
    }
  }

  @Override
  public Coordinator create(
      VmId vm, Incarnation incarnation, NodeTimers clock, Transport transport) {
    Coordinator coordinator =
        CoordinatorFleet.createWithoutPolicy(vm, incarnation, clock, transport);
    timers.put(coordinator, clock);
    coordinator.orders().sendWith((order, result) -> send(coordinator, order, result));
    // A starting process may read any published version.
    apply(coordinator, 1 + random.nextLong(policies.size()));
    return coordinator;
  }

  @Override
  public void adopt(Coordinator coordinator, VmList list) {
    coordinator.offer(list);
  }

  @Override
  public void deliver(Coordinator coordinator, VmId from, PeerMessage message) {
    coordinator.receive(from, message);
  }

  private record DelayedAction(long atMillis, long sequence, Runnable action)
      implements Comparable<DelayedAction> {

    @Override
    public int compareTo(DelayedAction other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
