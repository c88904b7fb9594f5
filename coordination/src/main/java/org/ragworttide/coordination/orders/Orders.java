package org.ragworttide.coordination.orders;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.limits.LimitDecision;
import org.ragworttide.coordination.time.TimerService;

/**
 * Compares engines with the wanted states of the configuration and repeats orders to those that
 * differ until they reach the wanted state.
 *
 * <p>Invariants: orders are sent only to engines that the configuration in force names, with the
 * version in force as fencing number; no order is sent once the engine is known to have accepted a
 * higher number; each artifact that an order allows an engine to fetch uses a permit of its own.
 * Confined to the coordination thread.
 */
public final class Orders implements OrderCommands, OrderQueries {
  private static final long MAX_FENCING_NUMBER = 1L << 53;

  private final TimerService time;
  private final OrderOwners owners;
  private final FetchPermits permits;
  private final OrderSettings settings;
  private final String requestPrefix;
  private final SortedMap<UpstreamId, EngineControl> engines = new TreeMap<>();
  private OrderPolicy policy = OrderPolicy.NONE;
  private Optional<OrderPort> port = Optional.empty();
  private long nextRequest;
  private long ignoredReports;

  /**
   * Creates the orders of one daemon, without any engine.
   *
   * @param time the timer service
   * @param owners decides to which engines this daemon sends orders
   * @param permits grants permits under the limit of the weight store
   * @param settings the durations of orders
   * @param requestPrefix prefix of the names of fetches, different for each run of a process
   */
  public Orders(
      TimerService time,
      OrderOwners owners,
      FetchPermits permits,
      OrderSettings settings,
      String requestPrefix) {
    this.time = time;
    this.owners = owners;
    this.permits = permits;
    this.settings = settings;
    this.requestPrefix = requestPrefix;
    time.every(settings.tickMillis(), this::tick);
  }

  @Override
  public void apply(OrderPolicy next) {
    if (next.version() < policy.version()) {
      return;
    }
    boolean consecutive = next.version() <= policy.version() + 1;
    policy = next;
    engines.keySet().retainAll(next.goals().keySet());
    next.goals()
        .forEach(
            (engine, goal) ->
                engines
                    .computeIfAbsent(engine, id -> new EngineControl(id, settings))
                    .applyGoal(goal, next.version(), consecutive));
  }

  @Override
  public void report(EngineReport report) {
    EngineControl engine = engines.get(report.engine());
    if (engine == null) {
      return;
    }
    if (isOutOfRange(report) || !engine.acceptReport(report)) {
      ignoredReports++;
    }
  }

  @Override
  public void sendWith(OrderPort newPort) {
    port = Optional.of(newPort);
  }

  @Override
  public List<PendingOrder> pending() {
    return engines.values().stream()
        .filter(engine -> !engine.hasWantedState())
        .map(engine -> engine.pending(policy.version(), time.nowMillis()))
        .toList();
  }

  @Override
  public Optional<EngineState> lastReportedState(UpstreamId engine) {
    return Optional.ofNullable(engines.get(engine)).flatMap(EngineControl::lastReported);
  }

  @Override
  public long ignoredReports() {
    return ignoredReports;
  }

  private void tick() {
    engines.forEach(
        (id, engine) -> {
          if (isDue(id, engine)) {
            startOrder(id, engine);
          }
        });
  }

  private boolean isDue(UpstreamId id, EngineControl engine) {
    return port.isPresent() && engine.isDue(policy.version(), time.nowMillis()) && owners.owns(id);
  }

  private void startOrder(UpstreamId id, EngineControl engine) {
    Optional<Artifact> fetch = engine.nextFetch();
    if (fetch.isEmpty()) {
      send(engine, fetch);
      return;
    }
    // The decision may be late: no other order starts until it arrives or answerMillis have passed.
    engine.awaitPermit(time.nowMillis() + settings.answerMillis());
    String request = requestPrefix + '/' + nextRequest++;
    permits.acquire(request, decision -> handleDecision(id, fetch, decision));
  }

  private void handleDecision(UpstreamId id, Optional<Artifact> fetch, LimitDecision decision) {
    EngineControl engine = engines.get(id);
    if (engine == null) {
      return;
    }
    engine.endWaitForPermit();
    switch (decision) {
      case LimitDecision.Admitted admitted -> {
        if (isDue(id, engine) && engine.nextFetch().equals(fetch)) {
          send(engine, fetch);
        }
      }
      case LimitDecision.Refused refused ->
          engine.awaitPermit(time.nowMillis() + Math.max(1, refused.retryAfterMillis()));
    }
  }

  private void send(EngineControl engine, Optional<Artifact> fetch) {
    EngineOrder order = engine.order(policy.version(), fetch);
    long number = engine.recordSent(time.nowMillis());
    time.after(settings.answerMillis(), () -> engine.recordTimeout(number, time.nowMillis()));
    port.orElseThrow()
        .send(order, result -> engine.recordResult(number, order, result, time.nowMillis()));
  }

  private static boolean isOutOfRange(EngineReport report) {
    long number = report.state().map(EngineState::fencingNumber).orElse(0L);
    return number < 0 || number > MAX_FENCING_NUMBER;
  }
}
