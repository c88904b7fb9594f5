package org.ragworttide.coordination.routing;

import java.util.Arrays;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ModelId;

/**
 * Keeps what a daemon knows of one upstream: the last report and its own requests in flight.
 *
 * <p>Invariant: the slots form a list from the oldest to the newest, and {@code unreported} counts
 * those that started after the last report was measured; every total that counts the upstream is
 * told of each change. Confined to the coordination thread.
 */
final class UpstreamTracker {
  static final long NEVER = Long.MIN_VALUE;

  final long hash;
  private UpstreamSpec spec;
  private Set<ModelId> lacking = Set.of();
  private boolean open;
  private long rampStartMillis = NEVER;
  private long rampMillis = 1;
  private long closedAtMillis = NEVER;
  private long measuredAtMillis = NEVER;
  private long incarnation;
  private long reported;
  private double growthPerMilli;
  private long lastCacheSequence = NEVER;
  private int inFlight;
  private int unreported;
  private Slot newest;
  private LoadTotals[] totals = {};

  UpstreamTracker(UpstreamSpec spec) {
    this.spec = spec;
    this.hash = Rendezvous.hash(spec.id().value());
  }

  /** Tells a total of every change from now on. */
  void countIn(LoadTotals total) {
    totals = Arrays.copyOf(totals, totals.length + 1);
    totals[totals.length - 1] = total;
  }

  /** Tells no total any more. */
  void leaveTotals() {
    totals = new LoadTotals[0];
  }

  UpstreamSpec spec() {
    return spec;
  }

  void spec(UpstreamSpec newSpec) {
    this.spec = newSpec;
  }

  /** Opens or closes the upstream to new work; it ramps up for as long as it was closed. */
  void open(boolean nowOpen, long nowMillis, long rampMillis) {
    if (nowOpen && !open) {
      boolean shortPause = closedAtMillis != NEVER && nowMillis - closedAtMillis < rampMillis;
      ramp(nowMillis, shortPause ? nowMillis - closedAtMillis : rampMillis);
    } else if (!nowOpen && open) {
      closedAtMillis = nowMillis;
    }
    if (nowOpen != open) {
      open = nowOpen;
      outdateTotals();
    }
  }

  /** Begins to ramp up from nothing over the given time. */
  void ramp(long nowMillis, long millis) {
    rampStartMillis = nowMillis;
    rampMillis = Math.max(1, millis);
    outdateTotals();
  }

  /** Ends the ramp at once. */
  void endRamp() {
    if (rampStartMillis != NEVER) {
      rampStartMillis = NEVER;
      outdateTotals();
    }
  }

  boolean isOpen() {
    return open;
  }

  /** Notes which of its models the upstream does not have loaded. */
  void lacking(Set<ModelId> models) {
    if (!lacking.equals(models)) {
      lacking = Set.copyOf(models);
      outdateTotals();
    }
  }

  /** Returns whether the upstream takes new work for the model. */
  boolean isOpenFor(ModelId model) {
    return open && !lacking.contains(model);
  }

  int inFlight() {
    return inFlight;
  }

  boolean isFresh(long nowMillis, long staleMillis) {
    return measuredAtMillis != NEVER && nowMillis - measuredAtMillis <= staleMillis;
  }

  long measuredAtMillis() {
    return measuredAtMillis;
  }

  /** Takes a report over and tells whether the engine's process is a new one. */
  boolean report(LoadReport report) {
    final boolean restarted = measuredAtMillis != NEVER && report.incarnation() != incarnation;
    incarnation = report.incarnation();
    long load = report.running() + report.waiting();
    long elapsed = report.measuredAtMillis() - measuredAtMillis;
    boolean known = measuredAtMillis != NEVER && !restarted;
    boolean surges = known && load - reported > Math.sqrt(reported + 1.0);
    growthPerMilli = surges ? (double) (load - reported) / elapsed : 0;
    final long lastMeasuredAtMillis = measuredAtMillis;
    final long lastReported = reported;
    final long lastUnreported = unreported;
    measuredAtMillis = report.measuredAtMillis();
    reported = load;
    unreported = 0;
    for (Slot s = newest; s != null && s.startedAtMillis > measuredAtMillis; s = s.older) {
      unreported++;
    }
    for (LoadTotals total : totals) {
      if (isOpenFor(total.model())) {
        total.addReport(lastMeasuredAtMillis, reported - lastReported, unreported - lastUnreported);
      }
    }
    return restarted;
  }

  /** Takes a cache event's number over unless a later one has come. */
  boolean cacheSequence(long sequence) {
    if (sequence <= lastCacheSequence) {
      return false;
    }
    lastCacheSequence = sequence;
    return true;
  }

  void forgetCacheSequence() {
    lastCacheSequence = NEVER;
  }

  long reported() {
    return reported;
  }

  int unreported() {
    return unreported;
  }

  /**
   * Returns the load over all daemons: the last report, carried on when it rose faster than by
   * chance, and own unreported starts counted {@code scale} times.
   */
  double estimate(double scale, long nowMillis) {
    double growth = growthPerMilli == 0 ? 0 : growthPerMilli * (nowMillis - measuredAtMillis);
    return Math.max(reported + Math.max(growth, scale * unreported), inFlight);
  }

  /** Returns the share of its work that the upstream gets while it returns, up to 1. */
  double share(long nowMillis) {
    if (rampStartMillis == NEVER || nowMillis - rampStartMillis >= rampMillis) {
      return 1;
    }
    return (double) (nowMillis - rampStartMillis) / rampMillis;
  }

  void add(Slot slot) {
    slot.older = newest;
    if (newest != null) {
      newest.newer = slot;
    }
    newest = slot;
    count(slot, 1);
  }

  void remove(Slot slot) {
    if (slot.newer == null) {
      newest = slot.older;
    } else {
      slot.newer.older = slot.older;
    }
    if (slot.older != null) {
      slot.older.newer = slot.newer;
    }
    count(slot, -1);
  }

  private void count(Slot slot, int change) {
    int started = slot.startedAtMillis > measuredAtMillis ? change : 0;
    inFlight += change;
    unreported += started;
    for (LoadTotals total : totals) {
      if (isOpenFor(total.model())) {
        total.addOwn(this, change, started);
      }
    }
  }

  private void outdateTotals() {
    for (LoadTotals total : totals) {
      total.outdate();
    }
  }
}
