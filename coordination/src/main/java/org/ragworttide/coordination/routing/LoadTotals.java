package org.ragworttide.coordination.routing;

import org.ragworttide.coordination.id.ModelId;

/**
 * The sums over a model's upstreams behind the mean load, kept up to date without walking them.
 *
 * <p>Invariants: after {@link #bringUpTo} the sums equal those of a walk at that time; a change of
 * loads is added at once; a change of shares, or of which reports are fresh, leads to a new walk.
 * Confined to the coordination thread.
 */
final class LoadTotals {
  static final double MIN_SHARE = 0.02;

  private final ModelId model;
  private final UpstreamTracker[] trackers;
  private final long staleMillis;
  private boolean outdated = true;
  private long walkedAtMillis;
  private long validUntilMillis;
  private int open;
  private long own;
  private int fresh;
  private double freshShares;
  private long reported;
  private long unreported;
  private double maxShare;

  LoadTotals(ModelId model, UpstreamTracker[] trackers, long staleMillis) {
    this.model = model;
    this.trackers = trackers;
    this.staleMillis = staleMillis;
    for (UpstreamTracker tracker : trackers) {
      tracker.countIn(this);
    }
  }

  ModelId model() {
    return model;
  }

  /** Makes the sums valid at the given time and tells whether that took a walk. */
  boolean bringUpTo(long nowMillis) {
    boolean walk = outdated || nowMillis < walkedAtMillis || nowMillis > validUntilMillis;
    if (walk) {
      walk(nowMillis);
    }
    return walk;
  }

  /** Notes that the shares, or which upstreams take new work, have changed. */
  void outdate() {
    outdated = true;
  }

  /** Adds a change of the own requests at an upstream that takes new work. */
  void addOwn(UpstreamTracker tracker, int inFlight, int started) {
    own += inFlight;
    unreported += wasFresh(tracker.measuredAtMillis()) ? started : 0;
  }

  /** Adds a change by a new report; {@code lastMeasuredAtMillis} is of the report before it. */
  void addReport(long lastMeasuredAtMillis, long load, long started) {
    if (wasFresh(lastMeasuredAtMillis)) {
      reported += load;
      unreported += started;
    } else {
      outdated = true;
    }
  }

  int open() {
    return open;
  }

  double maxShare() {
    return maxShare;
  }

  /** Returns for how many starts in the whole fleet one own unreported start stands. */
  double scale(FleetShare fleet) {
    return fresh == 0 ? 1 : fleet.scale((double) unreported / fresh);
  }

  /** Returns the mean load over all daemons of an upstream with the greatest share. */
  double meanLoad(double scale) {
    return fresh == 0 ? 0 : (reported + scale * unreported + 1) * maxShare / freshShares;
  }

  /** Returns the mean number of own requests. */
  double meanOwn() {
    return open == 0 ? 0 : (own + 1.0) / open;
  }

  private boolean wasFresh(long measuredAtMillis) {
    return measuredAtMillis != UpstreamTracker.NEVER
        && walkedAtMillis - measuredAtMillis <= staleMillis;
  }

  private void walk(long nowMillis) {
    outdated = false;
    walkedAtMillis = nowMillis;
    validUntilMillis = Long.MAX_VALUE;
    open = 0;
    own = 0;
    fresh = 0;
    freshShares = 0;
    reported = 0;
    unreported = 0;
    maxShare = MIN_SHARE;
    for (UpstreamTracker tracker : trackers) {
      if (tracker.isOpenFor(model)) {
        count(tracker, nowMillis);
      }
    }
  }

  private void count(UpstreamTracker tracker, long nowMillis) {
    open++;
    own += tracker.inFlight();
    double share = Math.max(MIN_SHARE, tracker.share(nowMillis));
    maxShare = Math.max(maxShare, share);
    validUntilMillis = Math.min(validUntilMillis, share < 1 ? nowMillis : Long.MAX_VALUE);
    if (wasFresh(tracker.measuredAtMillis())) {
      fresh++;
      freshShares += share;
      reported += tracker.reported();
      unreported += tracker.unreported();
      validUntilMillis = Math.min(validUntilMillis, tracker.measuredAtMillis() + staleMillis);
    }
  }
}
