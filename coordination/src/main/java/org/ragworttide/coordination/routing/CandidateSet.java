package org.ragworttide.coordination.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * The upstreams of one model with what a single decision computes over them.
 *
 * <p>Invariant: the order of two candidates for a chat is the same on every daemon and does not
 * depend on the other candidates. The weights belong to the decision in progress. Confined to the
 * coordination thread.
 */
final class CandidateSet {
  private static final double UNSEEN_REQUESTS = 1;
  private static final long VISITED = Long.MIN_VALUE;
  private static final int NONE = -1;

  private final ModelId model;
  private final UpstreamTracker[] trackers;
  private final long[] hashes;
  private final boolean[] opens;
  private final long[] weights;
  private final LoadTotals totals;
  private final RouterSettings settings;
  private int heaviest;
  private int eligible;
  private double meanLoad;
  private double scale;
  private long now;
  private int daemons = 1;

  CandidateSet(ModelId model, List<UpstreamTracker> trackers, RouterSettings settings) {
    this.model = model;
    this.trackers = trackers.toArray(UpstreamTracker[]::new);
    this.hashes = trackers.stream().mapToLong(tracker -> tracker.hash).toArray();
    this.opens = new boolean[hashes.length];
    this.weights = new long[hashes.length];
    this.totals = new LoadTotals(model, this.trackers, settings.reportStaleMillis());
    this.settings = settings;
  }

  int open() {
    return totals.open();
  }

  int eligible() {
    return eligible;
  }

  UpstreamTracker tracker(int index) {
    return trackers[index];
  }

  double meanLoad() {
    return meanLoad;
  }

  double meanOwn() {
    return totals.meanOwn();
  }

  /** Starts a decision: weighs the candidates and works out the mean load. */
  void begin(long key, RouteRequest request, FleetShare fleet, long nowMillis) {
    now = nowMillis;
    daemons = fleet.daemons();
    if (totals.bringUpTo(nowMillis)) {
      for (int i = 0; i < trackers.length; i++) {
        opens[i] = trackers[i].isOpenFor(model);
      }
    }
    weigh(key, request.tried());
    scale = totals.scale(fleet);
    meanLoad = totals.meanLoad(scale);
  }

  private void weigh(long key, Set<UpstreamId> tried) {
    final boolean firstTry = tried.isEmpty();
    eligible = 0;
    heaviest = NONE;
    long heaviestWeight = VISITED;
    for (int i = 0; i < hashes.length; i++) {
      if (!opens[i] || !(firstTry || !tried.contains(trackers[i].spec().id()))) {
        weights[i] = VISITED;
        continue;
      }
      eligible++;
      long weight = Math.max(VISITED + 1, Rendezvous.weight(key, hashes[i]));
      weights[i] = weight;
      if (weight > heaviestWeight) {
        heaviestWeight = weight;
        heaviest = i;
      }
    }
  }

  /** Returns the next candidate in the chat's order and takes it out, or -1. */
  int next() {
    int best = heaviest == NONE ? heaviestLeft() : heaviest;
    heaviest = NONE;
    if (best != NONE) {
      weights[best] = VISITED;
    }
    return best;
  }

  private int heaviestLeft() {
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
   * Returns the index of a hinted upstream if it stands early enough in the chat's order, or -1.
   */
  int hinted(long upstreamHash) {
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

  /** Tells whether the candidate takes the chat under its bound. */
  boolean accepts(int index, long key, FleetShare fleet) {
    UpstreamTracker tracker = trackers[index];
    double share = share(index) / totals.maxShare();
    double threshold = chatThreshold(key, tracker.hash);
    if (threshold >= share || !hasRoom(index)) {
      return false;
    }
    if (!isFresh(tracker)) {
      double bound = settings.loadMultiple() * share * meanOwn();
      return tracker.inFlight() + 1 <= Math.floor(bound + fleet.roundingOffset(tracker.hash));
    }
    double bound = settings.loadMultiple() * share * meanLoad;
    double hard = Math.max(1, bound - UNSEEN_REQUESTS);
    double soft = Math.min(hard, settings.softMultiple() * share * meanLoad);
    double load = tracker.estimate(scale, now);
    return load + 1 <= hard && (load <= soft || threshold < (hard - load) / (hard - soft));
  }

  /** Tells whether the candidate is below the load at which it begins to shed chats. */
  boolean isBelowSoftBound(int index) {
    double share = share(index) / totals.maxShare();
    return trackers[index].estimate(scale, now) <= settings.softMultiple() * share * meanLoad;
  }

  /** Tells whether the candidate is below its limit of concurrent requests. */
  boolean hasRoom(int index) {
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

  /** Returns the eligible candidates with room from the least to the most loaded. */
  int[] byLoad(long key, RouteRequest request) {
    long[] order = new long[trackers.length];
    int count = 0;
    for (int i = 0; i < trackers.length; i++) {
      boolean tried = request.tried().contains(trackers[i].spec().id());
      if (trackers[i].isOpenFor(model) && !tried && hasRoom(i)) {
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

  /** Returns the load over all daemons; a stale report does not make an engine look idle. */
  private double comparableLoad(UpstreamTracker tracker) {
    return isFresh(tracker)
        ? tracker.estimate(scale, now)
        : Math.max(meanLoad, (double) tracker.inFlight() * daemons);
  }

  /** Returns a number in [0, 1) of the chat at the upstream, independent of its order. */
  private static double chatThreshold(long key, long upstreamHash) {
    return (Rendezvous.weight(upstreamHash, key) >>> 11) * 0x1.0p-53;
  }
}
