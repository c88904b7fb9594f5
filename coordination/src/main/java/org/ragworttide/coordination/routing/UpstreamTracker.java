package org.ragworttide.coordination.routing;

import java.util.Arrays;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ModelId;

/**
 * Tracks the state of one upstream on a daemon: its last report and the daemon's own requests in
 * flight.
 *
 * <p>Invariant: the slots form a list from the oldest to the newest, and {@code unreported} counts
 * those that started after the last report was measured; the tracker adds each change to every
 * total that includes the upstream. Confined to the coordination thread.
 */
final class UpstreamTracker {
  static final long NEVER = Long.MIN_VALUE;

  final long hash;
  private UpstreamSpec spec;
  private Set<ModelId> missingModels = Set.of();
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

  /** Adds a total that receives every further change. */
  void addTotal(LoadTotals total) {
    totals = Arrays.copyOf(totals, totals.length + 1);
    totals[totals.length - 1] = total;
  }

  /** Removes all totals. */
  void removeTotals() {
    totals = new LoadTotals[0];
  }

  UpstreamSpec spec() {
    return spec;
  }

  void spec(UpstreamSpec newSpec) {
    this.spec = newSpec;
  }

  /**
   * Opens or closes the upstream to new work. A reopened upstream ramps up for as long as it was
   * closed, at most for the given time.
   */
  void setOpen(boolean nowOpen, long nowMillis, long rampMillis) {
    if (nowOpen && !open) {
      boolean shortPause = closedAtMillis != NEVER && nowMillis - closedAtMillis < rampMillis;
      startRamp(nowMillis, shortPause ? nowMillis - closedAtMillis : rampMillis);
    } else if (!nowOpen && open) {
      closedAtMillis = nowMillis;
    }
    if (nowOpen != open) {
      open = nowOpen;
      invalidateTotals();
    }
  }

  /** Starts to ramp up from zero over the given time. */
  void startRamp(long nowMillis, long millis) {
    rampStartMillis = nowMillis;
    rampMillis = Math.max(1, millis);
    invalidateTotals();
  }

  /** Ends the ramp at once. */
  void endRamp() {
    if (rampStartMillis != NEVER) {
      rampStartMillis = NEVER;
      invalidateTotals();
    }
  }

  boolean isOpen() {
    return open;
  }

  /** Sets which of its models the upstream does not have loaded. */
  void setMissingModels(Set<ModelId> models) {
    if (!missingModels.equals(models)) {
      missingModels = Set.copyOf(models);
      invalidateTotals();
    }
  }

  /** Returns whether the upstream accepts new work for the model. */
  boolean isOpenFor(ModelId model) {
    return open && !missingModels.contains(model);
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

  /** Applies a report and returns whether the engine's process has restarted. */
  boolean applyReport(LoadReport report) {
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

  /**
   * Records the number of a cache event and returns true, or returns false if an event with the
   * same or a later number has arrived.
   */
  boolean advanceCacheSequence(long sequence) {
    if (sequence <= lastCacheSequence) {
      return false;
    }
    lastCacheSequence = sequence;
    return true;
  }

  void resetCacheSequence() {
    lastCacheSequence = NEVER;
  }

  long reported() {
    return reported;
  }

  int unreported() {
    return unreported;
  }

  /**
   * Returns the load over all daemons: the last report plus either the extrapolated growth, if the
   * load rose faster than by chance, or this daemon's unreported starts times {@code scale},
   * whichever is greater. The load is at least this daemon's requests in flight.
   */
  double estimate(double scale, long nowMillis) {
    double growth = growthPerMilli == 0 ? 0 : growthPerMilli * (nowMillis - measuredAtMillis);
    return Math.max(reported + Math.max(growth, scale * unreported), inFlight);
  }

  /**
   * Returns the share of its full work that the upstream receives, which rises to 1 during the
   * ramp.
   */
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
    updateCounts(slot, 1);
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
    updateCounts(slot, -1);
  }

  private void updateCounts(Slot slot, int change) {
    int unreportedChange = slot.startedAtMillis > measuredAtMillis ? change : 0;
    inFlight += change;
    unreported += unreportedChange;
    for (LoadTotals total : totals) {
      if (isOpenFor(total.model())) {
        total.addOwnRequests(this, change, unreportedChange);
      }
    }
  }

  private void invalidateTotals() {
    for (LoadTotals total : totals) {
      total.invalidate();
    }
  }
}
