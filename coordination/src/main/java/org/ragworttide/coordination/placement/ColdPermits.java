package org.ragworttide.coordination.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Permits for requests to cold upstreams, which one VM gives out for each of them.
 *
 * <p>Handles fleets in which each VM sends a sliver of the requests: an equal part of a cold
 * upstream's rate is less than one request per second for each VM, and rounds either to nothing or
 * to one request of every VM in the same moment. The first VM in the upstream's rendezvous order,
 * which all compute alike, permits each request instead, wherever the requests arrive.
 *
 * <p>Invariants: in any second, this VM permits at most {@link #perSecond} requests for an
 * upstream, and none for one whose owner it is not or while it does not know most members; so two
 * groups of VMs that are cut from each other stay within one and a half times the rate and five
 * requests. Confined to one thread.
 */
public final class ColdPermits {
  /** Requests per second to a cold upstream if the service's configuration names no rate. */
  private static final double DEFAULT_PER_SECOND = 10;

  /**
   * Parts of the rate that two owners, which do not know of each other, may give out together
   * without exceeding one and a half times the rate and five requests.
   */
  private static final double SHARE_OF_TWO = 0.75;

  private static final double SLACK_OF_TWO = 2.5;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final FleetMembers members;
  private final Map<Integer, Deque<Long>> granted = new HashMap<>();

  /**
   * Creates an owner that has given out no permit.
   *
   * @param members the VMs that share the upstreams
   */
  public ColdPermits(FleetMembers members) {
    this.members = members;
  }

  /**
   * Returns whether a request may be sent, and counts it if so.
   *
   * @param upstream the key of the upstream's incarnation
   * @param toleratedPerSecond the rate that the upstream tolerates while it is cold, 0 if unknown
   */
  public boolean tryGrant(int upstream, double toleratedPerSecond, long nowMillis) {
    if (!members.isOwner(upstream, nowMillis)) {
      return false;
    }
    double rate = toleratedPerSecond > 0 ? toleratedPerSecond : DEFAULT_PER_SECOND;
    long windowMillis = (long) Math.ceil(MILLIS_PER_SECOND * Math.max(1, 1 / rate));
    granted.values().removeIf(times -> times.getLast() + windowMillis <= nowMillis);
    Deque<Long> times = granted.computeIfAbsent(upstream, key -> new ArrayDeque<>());
    while (!times.isEmpty() && times.getFirst() + windowMillis <= nowMillis) {
      times.removeFirst();
    }
    if (times.size() >= perSecond(rate)) {
      return false;
    }
    times.addLast(nowMillis);
    return true;
  }

  /** Returns the permits of a second for an upstream that tolerates a rate. */
  static int perSecond(double rate) {
    return (int) Math.max(1, Math.min(rate, SHARE_OF_TWO * rate + SLACK_OF_TWO));
  }
}
