package org.ragworttide.coordination.orders;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * What one daemon knows of one engine that takes orders, and when it may order it again.
 *
 * <p>Invariant: at most one order of this daemon is on its way to the engine. Confined to the
 * coordination thread.
 */
final class EngineControl {
  private static final long NEVER = Long.MIN_VALUE;

  private final UpstreamId engine;
  private final OrderSettings settings;
  private EngineGoal goal;
  private long wantedSince;
  private EngineReport last;
  private EngineState believed;
  private long newestNumber;
  private long wantedLoaded;
  private long settledAtMillis = NEVER;
  private long notBeforeMillis = NEVER;
  private long postponedUntilMillis = NEVER;
  private boolean awaitsPermit;
  private long backoffMillis;
  private long nextOrder;
  private OptionalLong onItsWay = OptionalLong.empty();
  private int orders;
  private String lastResult = "";

  EngineControl(UpstreamId engine, OrderSettings settings) {
    this.engine = engine;
    this.settings = settings;
    this.backoffMillis = settings.firstBackoffMillis();
  }

  /**
   * Takes in what is wanted; a new wish is ordered without waiting for an earlier backoff.
   *
   * @param newGoal what the version wants
   * @param version the configuration version
   * @param unbroken whether this daemon had the version before it, so that no wish between is
   *     unseen
   */
  void goal(EngineGoal newGoal, long version, boolean unbroken) {
    if (!unbroken || !newGoal.equals(goal)) {
      goal = newGoal;
      wantedSince = version;
      believed = Optional.ofNullable(believed).map(this::asFarAsWanted).orElse(null);
      startAfresh();
    }
  }

  /** Returns what is left of a belief of an earlier goal: no order of the new goal was taken. */
  private EngineState asFarAsWanted(EngineState old) {
    Set<Artifact> kept = new HashSet<>(old.loaded());
    kept.retainAll(goal.wanted().artifacts());
    return new EngineState(0, kept, Set.of(), old.role());
  }

  /** Takes in a report and tells whether it was used. */
  boolean report(EngineReport report) {
    if (last != null && report.measuredAtMillis() <= last.measuredAtMillis()) {
      return false;
    }
    if (last != null && report.incarnation() != last.incarnation()) {
      believed = null;
      newestNumber = 0;
      startAfresh();
    }
    last = report;
    report.state().ifPresent(this::reported);
    return true;
  }

  private void reported(EngineState state) {
    long loaded = goal.wanted().artifacts().stream().filter(state.loaded()::contains).count();
    if (loaded > wantedLoaded) {
      backoffMillis = settings.firstBackoffMillis();
    }
    wantedLoaded = loaded;
    newestNumber = state.fencingNumber();
    if (isAsWanted(state)) {
      startAfresh();
    }
  }

  Optional<EngineState> lastReported() {
    return last == null ? Optional.empty() : last.state();
  }

  /** Returns whether the engine is what is wanted, as far as is known. */
  boolean isAsWanted() {
    return state().map(this::isAsWanted).orElse(false);
  }

  private boolean isAsWanted(EngineState state) {
    return isObeyed(state) && state.loaded().equals(Set.copyOf(goal.wanted().artifacts()));
  }

  PendingOrder pending(long version, long nowMillis) {
    return new PendingOrder(engine, reason(version, nowMillis), orders, lastResult);
  }

  /** Returns whether an order is due. */
  boolean isDue(long version, long nowMillis) {
    return onItsWay.isEmpty()
        && nowMillis >= Math.max(notBeforeMillis, postponedUntilMillis)
        && !isAsWanted()
        && mayOrder(reason(version, nowMillis))
        && isSettled(nowMillis);
  }

  /** Returns the next artifact that the engine must fetch, if any. */
  Optional<Artifact> nextFetch() {
    return goal.wanted().artifacts().stream()
        .filter(artifact -> state().map(state -> !state.has(artifact)).orElse(true))
        .findFirst();
  }

  EngineOrder order(long version, Optional<Artifact> fetch) {
    return new EngineOrder(engine, version, goal.wanted(), fetch);
  }

  /** Notes that an order leaves now and returns its number. */
  long sent(long nowMillis) {
    onItsWay = OptionalLong.of(++nextOrder);
    orders++;
    lastResult = "on its way";
    notBeforeMillis = nowMillis + backoffMillis;
    backoffMillis = Math.min(2 * backoffMillis, settings.maxBackoffMillis());
    return nextOrder;
  }

  /** Lets no order be due before, besides the backoff, as a permit to fetch is awaited. */
  void awaitPermit(long untilMillis) {
    awaitsPermit = true;
    postponedUntilMillis = untilMillis;
  }

  void endWaitForPermit() {
    awaitsPermit = false;
    postponedUntilMillis = NEVER;
  }

  /** Takes in what became of an order; a result that comes after its time is ignored. */
  void result(long number, EngineOrder order, OrderResult result, long nowMillis) {
    if (onItsWay.isEmpty() || onItsWay.getAsLong() != number) {
      return;
    }
    onItsWay = OptionalLong.empty();
    settledAtMillis = nowMillis;
    lastResult = result.inWords();
    switch (result) {
      case OrderResult.Accepted accepted -> believe(order);
      case OrderResult.Old old -> newestNumber = Math.max(newestNumber, old.newestNumber());
      default -> {
        // The next report tells whether the order took effect.
      }
    }
  }

  /** Ends the wait for an order's answer. */
  void timeOut(long number, long nowMillis) {
    result(number, null, new OrderResult.Lost("too late"), nowMillis);
  }

  private void believe(EngineOrder order) {
    newestNumber = Math.max(newestNumber, order.fencingNumber());
    if (!order.wanted().equals(goal.wanted())) {
      return;
    }
    Set<Artifact> loaded = new HashSet<>();
    if (believed != null) {
      loaded.addAll(believed.loaded());
    }
    order.fetch().ifPresent(loaded::add);
    believed = new EngineState(order.fencingNumber(), loaded, Set.of(), order.wanted().role());
  }

  /** Returns the reported state, or what accepted orders made of an engine that does not tell. */
  private Optional<EngineState> state() {
    Optional<EngineState> told = lastReported();
    return told.isPresent() ? told : Optional.ofNullable(believed);
  }

  private PendingOrder.Reason reason(long version, long nowMillis) {
    if (last == null || nowMillis - last.measuredAtMillis() > settings.staleMillis()) {
      return PendingOrder.Reason.NO_REPORT;
    }
    if (newestNumber > version) {
      return PendingOrder.Reason.SUPERSEDED;
    }
    if (state().filter(this::isOnlyLoading).isPresent()) {
      return PendingOrder.Reason.LOADING;
    }
    return awaitsPermit ? PendingOrder.Reason.AWAITING_PERMIT : PendingOrder.Reason.ORDERING;
  }

  private static boolean mayOrder(PendingOrder.Reason reason) {
    return switch (reason) {
      case ORDERING, AWAITING_PERMIT -> true;
      case NO_REPORT, SUPERSEDED, LOADING -> false;
    };
  }

  private boolean isOnlyLoading(EngineState state) {
    Set<Artifact> all = new HashSet<>(state.loaded());
    all.addAll(state.loading());
    return isObeyed(state) && all.equals(Set.copyOf(goal.wanted().artifacts()));
  }

  private boolean isObeyed(EngineState state) {
    boolean tells = last != null && last.state().isPresent();
    boolean numberCounts = goal.checksFencing() || !tells;
    return (!numberCounts || state.fencingNumber() >= wantedSince)
        && state.role().equals(goal.wanted().role());
  }

  /** Tells whether a report from after the last answer has come, or will not come any more. */
  private boolean isSettled(long nowMillis) {
    return settledAtMillis == NEVER
        || last.state().isEmpty()
        || last.measuredAtMillis() > settledAtMillis
        || nowMillis - settledAtMillis >= settings.staleMillis();
  }

  private void startAfresh() {
    backoffMillis = settings.firstBackoffMillis();
    notBeforeMillis = NEVER;
    settledAtMillis = NEVER;
    orders = 0;
  }
}
