package org.ragworttide.coordination.placement;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Places requests on the few servers of a plain service by expected time to answer.
 *
 * <p>Answers the pattern of small servers (a few slots each) of different speed before which many
 * VMs, each seeing a part of the requests, send bursts: a VM queues behind its own requests only
 * where the server is quick, and crosses zones only if the near server is busier.
 *
 * <p>Invariant: the chosen upstream is a candidate. Confined to one thread.
 */
public final class ServicePlacement {
  /** Milliseconds that count for a request to another zone: a few round trips between zones. */
  private static final double OTHER_ZONE_MILLIS = 10;

  /** Milliseconds expected at least, so that an upstream not heard of takes its turn, no more. */
  private static final double LEAST_DURATION_MILLIS = 5;

  /** Milliseconds by which equal upstreams are told apart at random. */
  private static final double TIE_MILLIS = 1;

  private final ZoneId ownZone;
  private final SplittableRandom random;

  /**
   * Creates the placement of a VM.
   *
   * @param ownZone the VM's availability zone
   * @param random breaks ties
   */
  public ServicePlacement(ZoneId ownZone, SplittableRandom random) {
    this.ownZone = ownZone;
    this.random = random;
  }

  /** Chooses an upstream, empty if no candidate admits a request. */
  public Optional<UpstreamLoad> choose(List<UpstreamLoad> candidates, long nowMillis) {
    UpstreamLoad best = null;
    double least = Double.MAX_VALUE;
    for (UpstreamLoad upstream : Warmth.preferWarm(candidates, nowMillis)) {
      double expected = expectedMillis(upstream, nowMillis) + random.nextDouble(TIE_MILLIS);
      if (expected < least) {
        least = expected;
        best = upstream;
      }
    }
    return Optional.ofNullable(best);
  }

  private double expectedMillis(UpstreamLoad upstream, long nowMillis) {
    double duration = Math.max(LEAST_DURATION_MILLIS, upstream.meanDurationMillis(nowMillis));
    double queued = duration * (1 + (double) upstream.estimate(nowMillis));
    return upstream.zone().equals(ownZone) ? queued : queued + OTHER_ZONE_MILLIS;
  }
}
