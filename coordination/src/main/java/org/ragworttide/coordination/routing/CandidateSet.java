package org.ragworttide.coordination.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Upstreams of one model, with the weights and the mean load that a single decision computes.
 *
 * <p>Invariant: the order of two candidates for a chat is the same on every daemon and does not
 * depend on the other candidates. The weights belong to the decision in progress. Confined to the
 * coordination thread.
 */
final class CandidateSet {
  private static final double UNREPORTED_REQUESTS_MARGIN = 1;
  private static final long VISITED = Long.MIN_VALUE;
  private static final int NONE = -1;

  private final ModelId model;
  private final UpstreamTracker[] trackers;
  private final long[] hashes;
  private final boolean[] openForModel;
  private final long[] weights;
  private final LoadTotals totals;
  private final RouterSettings settings;
  private int heaviest;
  private int eligibleCount;
  private double meanLoad;
  private double scale;
  private long now;
  private int daemons = 1;

  CandidateSet(ModelId model, List<UpstreamTracker> trackers, RouterSettings settings) {
    this.model = model;
    this.trackers = trackers.toArray(UpstreamTracker[]::new);
    this.hashes = trackers.stream().mapToLong(tracker -> tracker.hash).toArray();
    this.openForModel = new boolean[hashes.length];
    this.weights = new long[hashes.length];
    this.totals = new LoadTotals(model, this.trackers, settings.reportStaleMillis());
    this.settings = settings;
  }

  int openCount() {
    return totals.openCount();
  }

  int eligibleCount() {
    return eligibleCount;
  }

  UpstreamTracker tracker(int index) {
    return trackers[index];
  }

  double meanLoad() {
    return meanLoad;
  }

  double meanOwnRequests() {
    return totals.meanOwnRequests();
  }

  /** Starts a decision: computes the weights of the candidates and the mean load. */
  void begin(long key, RouteRequest request, FleetPosition fleet, long nowMillis) {
    now = nowMillis;
    daemons = fleet.daemons();
    if (totals.update(nowMillis)) {
      for (int i = 0; i < trackers.length; i++) {
        openForModel[i] = trackers[i].isOpenFor(model);
      }
    }
    computeWeights(key, request.tried());
    scale = totals.scale(fleet);
    meanLoad = totals.meanLoad(scale);
  }

  private void computeWeights(long key, Set<UpstreamId> tried) {
    final boolean firstTry = tried.isEmpty();
    eligibleCount = 0;
    heaviest = NONE;
    long heaviestWeight = VISITED;
    for (int i = 0; i < hashes.length; i++) {
      if (!openForModel[i] || !(firstTry || !tried.contains(trackers[i].spec().id()))) {
        weights[i] = VISITED;
        continue;
      }
      eligibleCount++;
      long weight = Math.max(VISITED + 1, Rendezvous.weight(key, hashes[i]));
      weights[i] = weight;
      if (weight > heaviestWeight) {
        heaviestWeight = weight;
        heaviest = i;
      }
    }
  }

  /** Removes and returns the index of the next candidate in the chat's order, or returns -1. */
  int next() {
    int best = heaviest == NONE ? heaviestRemaining() : heaviest;
    heaviest = NONE;
    if (best != NONE) {
      weights[best] = VISITED;
    }
    return best;
  }

  private int heaviestRemaining() {
    int best = NONE;
    long bestWeight = VISITED;
    for (int i = 0; i < weights.length; i++) {
      if (weights[i] > bestWeight) {
        bestWeight = weights[i];
        best = i;
      }
    }
    return best;
  }

  /**
   * Returns the index of the hinted upstream if it is among the first candidates in the chat's
   * order, or -1.
   */
  int hintedIndex(long upstreamHash) {
    for (int i = 0; i < hashes.length; i++) {
      if (hashes[i] == upstreamHash && weights[i] != VISITED) {
        return rank(i) < settings.walkLength() ? i : NONE;
      }
    }
    return NONE;
  }

  private int rank(int index) {
    int before = 0;
    for (long weight : weights) {
      if (weight > weights[index]) {
        before++;
      }
    }
    return before;
  }

  /**
   * Returns whether the candidate can accept the chat within its load bound and its limit of
   * concurrent requests.
   */
  boolean accepts(int index, long key, FleetPosition fleet) {
    UpstreamTracker tracker = trackers[index];
    double share = share(index) / totals.maxShare();
    double threshold = chatThreshold(key, tracker.hash);
    if (threshold >= share || !hasCapacity(index)) {
      return false;
    }
    if (!isFresh(tracker)) {
      double bound = settings.loadMultiple() * share * meanOwnRequests();
      return tracker.inFlight() + 1 <= Math.floor(bound + fleet.roundingOffset(tracker.hash));
    }
    double bound = settings.loadMultiple() * share * meanLoad;
    double hardBound = Math.max(1, bound - UNREPORTED_REQUESTS_MARGIN);
    double softBound = Math.min(hardBound, settings.softMultiple() * share * meanLoad);
    double load = tracker.estimate(scale, now);
    return load + 1 <= hardBound
        && (load <= softBound || threshold < (hardBound - load) / (hardBound - softBound));
  }

  /** Returns whether the candidate is not above the load at which it begins to shed chats. */
  boolean isBelowSoftBound(int index) {
    double share = share(index) / totals.maxShare();
    return trackers[index].estimate(scale, now) <= settings.softMultiple() * share * meanLoad;
  }

  /** Returns whether the candidate is below its limit of concurrent requests. */
  boolean hasCapacity(int index) {
    UpstreamTracker tracker = trackers[index];
    int limit = tracker.spec().maxInFlight();
    if (isFresh(tracker)) {
      return tracker.estimate(scale, now) + 1 <= limit;
    }
    return tracker.inFlight() + 1 <= Math.ceilDiv(limit, daemons);
  }

  private double share(int index) {
    return Math.max(LoadTotals.MIN_SHARE, trackers[index].share(now));
  }

  private boolean isFresh(UpstreamTracker tracker) {
    return tracker.isFresh(now, settings.reportStaleMillis());
  }

  /**
   * Returns the indexes of the eligible candidates with capacity, from the least to the most
   * loaded.
   */
  int[] byLoad(long key, RouteRequest request) {
    long[] order = new long[trackers.length];
    int count = 0;
    for (int i = 0; i < trackers.length; i++) {
      boolean tried = request.tried().contains(trackers[i].spec().id());
      if (trackers[i].isOpenFor(model) && !tried && hasCapacity(i)) {
        order[count++] = loadKey(i, key);
      }
    }
    Arrays.sort(order, 0, count);
    int[] indexes = new int[count];
    for (int i = 0; i < count; i++) {
      indexes[i] = (int) (order[i] & 0xffff);
    }
    return indexes;
  }

  private long loadKey(int index, long key) {
    double load = (comparableLoad(trackers[index]) + 1) / share(index);
    long tieBreak = Rendezvous.weight(trackers[index].hash, key) & 0xffff;
    return ((long) Math.min(load, 1e8) << 32) | (tieBreak << 16) | index;
  }

  /**
   * Returns the load over all daemons. A candidate with a stale report counts at least with the
   * mean load, so that it does not look idle.
   */
  private double comparableLoad(UpstreamTracker tracker) {
    return isFresh(tracker)
        ? tracker.estimate(scale, now)
        : Math.max(meanLoad, (double) tracker.inFlight() * daemons);
  }

  /**
   * Returns a hash in [0, 1) of the chat and the upstream that is independent of the chat's order.
   */
  private static double chatThreshold(long key, long upstreamHash) {
    return (Rendezvous.weight(upstreamHash, key) >>> 11) * 0x1.0p-53;
  }
}
