package org.ragworttide.coordination.routing;

import org.ragworttide.coordination.id.ModelId;

/**
 * Sums over a model's upstreams from which the mean load is computed, updated incrementally.
 *
 * <p>Invariants: after {@link #update} the sums equal those recomputed over all upstreams at that
 * time; a change of loads is added at once; a change of the shares, or of the set of fresh reports,
 * causes a recomputation. Confined to the coordination thread.
 */
final class LoadTotals {
  static final double MIN_SHARE = 0.02;

  private final ModelId model;
  private final UpstreamTracker[] trackers;
  private final long staleMillis;
  private boolean invalid = true;
  private long computedAtMillis;
  private long validUntilMillis;
  private int openCount;
  private long ownRequests;
  private int freshReports;
  private double freshShares;
  private long reported;
  private long unreported;
  private double maxShare;

  LoadTotals(ModelId model, UpstreamTracker[] trackers, long staleMillis) {
    this.model = model;
    this.trackers = trackers;
    this.staleMillis = staleMillis;
    for (UpstreamTracker tracker : trackers) {
      tracker.addTotal(this);
    }
  }

  ModelId model() {
    return model;
  }

  /** Makes the sums valid at the given time and returns whether it recomputed them. */
  boolean update(long nowMillis) {
    boolean stale = invalid || nowMillis < computedAtMillis || nowMillis > validUntilMillis;
    if (stale) {
      recompute(nowMillis);
    }
    return stale;
  }

  /** Marks the sums as invalid after a change of the shares or of the set of open upstreams. */
  void invalidate() {
    invalid = true;
  }

  /** Adds a change of this daemon's requests at an open upstream. */
  void addOwnRequests(UpstreamTracker tracker, int inFlightChange, int unreportedChange) {
    ownRequests += inFlightChange;
    unreported += wasFresh(tracker.measuredAtMillis()) ? unreportedChange : 0;
  }

  /**
   * Adds the changes that a new report causes; {@code lastMeasuredAtMillis} is the measuring time
   * of the previous report.
   */
  void addReport(long lastMeasuredAtMillis, long reportedChange, long unreportedChange) {
    if (wasFresh(lastMeasuredAtMillis)) {
      reported += reportedChange;
      unreported += unreportedChange;
    } else {
      invalid = true;
    }
  }

  int openCount() {
    return openCount;
  }

  double maxShare() {
    return maxShare;
  }

  /**
   * Returns the estimated number of starts in the whole fleet per unreported start of this daemon.
   */
  double scale(FleetPosition fleet) {
    return freshReports == 0 ? 1 : fleet.scale((double) unreported / freshReports);
  }

  /** Returns the mean load, over all daemons, of an upstream with the greatest share. */
  double meanLoad(double scale) {
    return freshReports == 0 ? 0 : (reported + scale * unreported + 1) * maxShare / freshShares;
  }

  /** Returns the mean number of this daemon's requests per open upstream. */
  double meanOwnRequests() {
    return openCount == 0 ? 0 : (ownRequests + 1.0) / openCount;
  }

  private boolean wasFresh(long measuredAtMillis) {
    return measuredAtMillis != UpstreamTracker.NEVER
        && computedAtMillis - measuredAtMillis <= staleMillis;
  }

  private void recompute(long nowMillis) {
    invalid = false;
    computedAtMillis = nowMillis;
    validUntilMillis = Long.MAX_VALUE;
    openCount = 0;
    ownRequests = 0;
    freshReports = 0;
    freshShares = 0;
    reported = 0;
    unreported = 0;
    maxShare = MIN_SHARE;
    for (UpstreamTracker tracker : trackers) {
      if (tracker.isOpenFor(model)) {
        add(tracker, nowMillis);
      }
    }
  }

  private void add(UpstreamTracker tracker, long nowMillis) {
    openCount++;
    ownRequests += tracker.inFlight();
    double share = Math.max(MIN_SHARE, tracker.share(nowMillis));
    maxShare = Math.max(maxShare, share);
    validUntilMillis = Math.min(validUntilMillis, share < 1 ? nowMillis : Long.MAX_VALUE);
    if (wasFresh(tracker.measuredAtMillis())) {
      freshReports++;
      freshShares += share;
      reported += tracker.reported();
      unreported += tracker.unreported();
      validUntilMillis = Math.min(validUntilMillis, tracker.measuredAtMillis() + staleMillis);
    }
  }
}
