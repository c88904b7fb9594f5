package org.ragworttide.coordination.orders;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * State that one daemon keeps of one engine that accepts orders, and when the next order is due.
 *
 * <p>Invariant: at most one order of this daemon to the engine is in flight. Confined to the
 * coordination thread.
 */
final class EngineControl {
  private static final long NEVER = Long.MIN_VALUE;

  private final UpstreamId engine;
  private final OrderSettings settings;
  private EngineGoal goal;
  private long wantedSinceVersion;
  private EngineReport lastReport;
  private EngineState assumedState;
  private long newestFencingNumber;
  private long loadedWantedCount;
  private long lastResultAtMillis = NEVER;
  private long backoffUntilMillis = NEVER;
  private long permitWaitUntilMillis = NEVER;
  private boolean awaitsPermit;
  private long backoffMillis;
  private long lastOrderNumber;
  private OptionalLong inFlightOrder = OptionalLong.empty();
  private int orderCount;
  private String lastResult = "";

  EngineControl(UpstreamId engine, OrderSettings settings) {
    this.engine = engine;
    this.settings = settings;
    this.backoffMillis = settings.firstBackoffMillis();
  }

  /**
   * Sets the goal of the engine; orders for a new goal do not wait for an earlier backoff.
   *
   * @param newGoal the goal in the configuration version
   * @param version the configuration version
   * @param consecutive whether this daemon had the previous version in force, so that it has not
   *     missed a goal in between
   */
  void applyGoal(EngineGoal newGoal, long version, boolean consecutive) {
    if (!consecutive || !newGoal.equals(goal)) {
      goal = newGoal;
      wantedSinceVersion = version;
      assumedState = Optional.ofNullable(assumedState).map(this::retainWanted).orElse(null);
      resetBackoff();
    }
  }

  /**
   * Returns the part of an earlier assumed state that remains valid under the new goal, of which
   * the engine has accepted no order yet.
   */
  private EngineState retainWanted(EngineState old) {
    Set<Artifact> kept = new HashSet<>(old.loaded());
    kept.retainAll(goal.wanted().artifacts());
    return new EngineState(0, kept, Set.of(), old.role());
  }

  /** Handles a report and returns whether it was used; it is ignored unless newer than the last. */
  boolean acceptReport(EngineReport report) {
    if (lastReport != null && report.measuredAtMillis() <= lastReport.measuredAtMillis()) {
      return false;
    }
    if (lastReport != null && report.incarnation() != lastReport.incarnation()) {
      assumedState = null;
      newestFencingNumber = 0;
      resetBackoff();
    }
    lastReport = report;
    report.state().ifPresent(this::onReportedState);
    return true;
  }

  private void onReportedState(EngineState state) {
    long loaded = goal.wanted().artifacts().stream().filter(state.loaded()::contains).count();
    if (loaded > loadedWantedCount) {
      backoffMillis = settings.firstBackoffMillis();
    }
    loadedWantedCount = loaded;
    newestFencingNumber = state.fencingNumber();
    if (hasWantedState(state)) {
      resetBackoff();
    }
  }

  Optional<EngineState> lastReported() {
    return lastReport == null ? Optional.empty() : lastReport.state();
  }

  /** Returns whether the engine has its wanted state, as far as this daemon knows. */
  boolean hasWantedState() {
    return state().map(this::hasWantedState).orElse(false);
  }

  private boolean hasWantedState(EngineState state) {
    return hasAppliedOrder(state) && state.loaded().equals(Set.copyOf(goal.wanted().artifacts()));
  }

  PendingOrder pending(long version, long nowMillis) {
    return new PendingOrder(engine, reason(version, nowMillis), orderCount, lastResult);
  }

  /** Returns whether an order is due. */
  boolean isDue(long version, long nowMillis) {
    return inFlightOrder.isEmpty()
        && nowMillis >= Math.max(backoffUntilMillis, permitWaitUntilMillis)
        && !hasWantedState()
        && permitsOrder(reason(version, nowMillis))
        && isLastResultReflected(nowMillis);
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

  /** Records that an order is sent now and returns its sequence number. */
  long recordSent(long nowMillis) {
    inFlightOrder = OptionalLong.of(++lastOrderNumber);
    orderCount++;
    lastResult = "on its way";
    backoffUntilMillis = nowMillis + backoffMillis;
    backoffMillis = Math.min(2 * backoffMillis, settings.maxBackoffMillis());
    return lastOrderNumber;
  }

  /** Postpones orders, in addition to the backoff, while a permit to fetch is pending. */
  void awaitPermit(long untilMillis) {
    awaitsPermit = true;
    permitWaitUntilMillis = untilMillis;
  }

  void endWaitForPermit() {
    awaitsPermit = false;
    permitWaitUntilMillis = NEVER;
  }

  /** Records the result of an order; a result that arrives after the timeout is ignored. */
  void recordResult(long number, EngineOrder order, OrderResult result, long nowMillis) {
    if (inFlightOrder.isEmpty() || inFlightOrder.getAsLong() != number) {
      return;
    }
    inFlightOrder = OptionalLong.empty();
    lastResultAtMillis = nowMillis;
    lastResult = result.describe();
    switch (result) {
      case OrderResult.Accepted accepted -> assumeApplied(order);
      case OrderResult.Outdated old ->
          newestFencingNumber = Math.max(newestFencingNumber, old.newestNumber());
      default -> {
        // The next report shows whether the order took effect.
      }
    }
  }

  /** Stops waiting for the answer to an order. */
  void recordTimeout(long number, long nowMillis) {
    recordResult(number, null, new OrderResult.Lost("too late"), nowMillis);
  }

  private void assumeApplied(EngineOrder order) {
    newestFencingNumber = Math.max(newestFencingNumber, order.fencingNumber());
    if (!order.wanted().equals(goal.wanted())) {
      return;
    }
    Set<Artifact> loaded = new HashSet<>();
    if (assumedState != null) {
      loaded.addAll(assumedState.loaded());
    }
    order.fetch().ifPresent(loaded::add);
    assumedState = new EngineState(order.fencingNumber(), loaded, Set.of(), order.wanted().role());
  }

  /**
   * Returns the reported state, or the state that accepted orders imply if the engine does not
   * report its state.
   */
  private Optional<EngineState> state() {
    Optional<EngineState> reported = lastReported();
    return reported.isPresent() ? reported : Optional.ofNullable(assumedState);
  }

  private PendingOrder.Reason reason(long version, long nowMillis) {
    if (lastReport == null || nowMillis - lastReport.measuredAtMillis() > settings.staleMillis()) {
      return PendingOrder.Reason.NO_REPORT;
    }
    if (newestFencingNumber > version) {
      return PendingOrder.Reason.SUPERSEDED;
    }
    if (state().filter(this::isOnlyLoading).isPresent()) {
      return PendingOrder.Reason.LOADING;
    }
    return awaitsPermit ? PendingOrder.Reason.AWAITING_PERMIT : PendingOrder.Reason.ORDERING;
  }

  private static boolean permitsOrder(PendingOrder.Reason reason) {
    return switch (reason) {
      case ORDERING, AWAITING_PERMIT -> true;
      case NO_REPORT, SUPERSEDED, LOADING -> false;
    };
  }

  private boolean isOnlyLoading(EngineState state) {
    Set<Artifact> all = new HashSet<>(state.loaded());
    all.addAll(state.loading());
    return hasAppliedOrder(state) && all.equals(Set.copyOf(goal.wanted().artifacts()));
  }

  private boolean hasAppliedOrder(EngineState state) {
    boolean reportsState = lastReport != null && lastReport.state().isPresent();
    boolean requiresFencingNumber = goal.checksFencing() || !reportsState;
    return (!requiresFencingNumber || state.fencingNumber() >= wantedSinceVersion)
        && state.role().equals(goal.wanted().role());
  }

  /**
   * Returns whether a report newer than the last result has arrived, or is no longer to be
   * expected.
   */
  private boolean isLastResultReflected(long nowMillis) {
    return lastResultAtMillis == NEVER
        || lastReport.state().isEmpty()
        || lastReport.measuredAtMillis() > lastResultAtMillis
        || nowMillis - lastResultAtMillis >= settings.staleMillis();
  }

  private void resetBackoff() {
    backoffMillis = settings.firstBackoffMillis();
    backoffUntilMillis = NEVER;
    lastResultAtMillis = NEVER;
    orderCount = 0;
  }
}
