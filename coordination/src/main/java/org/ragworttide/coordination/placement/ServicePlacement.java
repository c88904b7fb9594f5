package org.ragworttide.coordination.placement;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Places requests on the few upstreams of a plain service by their expected response time.
 *
 * <p>Handles small upstreams (a few slots each) of different speeds to which many VMs send bursts,
 * while each VM sees only part of the requests: a VM queues requests behind its own only where the
 * upstream is fast, and sends to another zone only if the upstream in its own zone is busier.
 *
 * <p>Invariant: the chosen upstream is a candidate. Confined to one thread.
 */
public final class ServicePlacement {
  /** Penalty of an upstream in another zone: a few round trips between zones. */
  private static final double CROSS_ZONE_PENALTY_MILLIS = 10;

  /**
   * Minimum duration that is assumed, so that an upstream without measured durations receives
   * requests, but not all of them.
   */
  private static final double MIN_DURATION_MILLIS = 5;

  /** Upper bound of the random time that breaks ties between equal upstreams. */
  private static final double TIE_BREAK_MILLIS = 1;

  private final ZoneId ownZone;
  private final SplittableRandom random;

  /**
   * Creates the placement of a VM.
   *
   * @param ownZone the VM's availability zone
   * @param random the source of randomness for breaking ties
   */
  public ServicePlacement(ZoneId ownZone, SplittableRandom random) {
    this.ownZone = ownZone;
    this.random = random;
  }

  /** Chooses an upstream, or returns empty if no candidate admits a request. */
  public Optional<UpstreamLoad> choose(List<UpstreamLoad> candidates, long nowMillis) {
    return leastExpected(AdmissionFilter.preferWarm(candidates, nowMillis), nowMillis);
  }

  /**
   * Chooses an upstream in the VM's zone or, for a given share of the requests, in another. If none
   * is left there that has room as far as the VM knows, any may be chosen. Returns empty if no
   * candidate admits a request.
   *
   * @param candidates upstreams that may serve the request
   * @param leavingShare the share of the requests that leaves the zone, 0 to 1
   * @param nowMillis the time
   */
  public Optional<UpstreamLoad> choose(
      List<UpstreamLoad> candidates, double leavingShare, long nowMillis) {
    List<UpstreamLoad> open = AdmissionFilter.preferWarm(candidates, nowMillis);
    boolean leaves = random.nextDouble() < leavingShare;
    List<UpstreamLoad> preferred =
        open.stream()
            .filter(it -> it.zone().equals(ownZone) != leaves)
            .filter(it -> it.estimatedRequests(nowMillis) < it.slots())
            .toList();
    return leastExpected(preferred, nowMillis).or(() -> leastExpected(open, nowMillis));
  }

  private Optional<UpstreamLoad> leastExpected(List<UpstreamLoad> upstreams, long nowMillis) {
    UpstreamLoad best = null;
    double leastExpectedMillis = Double.MAX_VALUE;
    for (UpstreamLoad upstream : upstreams) {
      double expected = expectedMillis(upstream, nowMillis) + random.nextDouble(TIE_BREAK_MILLIS);
      if (expected < leastExpectedMillis) {
        leastExpectedMillis = expected;
        best = upstream;
      }
    }
    return Optional.ofNullable(best);
  }

  private double expectedMillis(UpstreamLoad upstream, long nowMillis) {
    double duration = Math.max(MIN_DURATION_MILLIS, upstream.meanDurationMillis(nowMillis));
    double ownZoneMillis = duration * (1 + (double) upstream.estimatedRequests(nowMillis));
    return upstream.zone().equals(ownZone)
        ? ownZoneMillis
        : ownZoneMillis + CROSS_ZONE_PENALTY_MILLIS;
  }
}
