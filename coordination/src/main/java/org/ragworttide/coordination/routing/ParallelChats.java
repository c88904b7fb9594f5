package org.ragworttide.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Counts this daemon's requests in flight by chat, and spreads chats with several concurrent
 * requests over engines.
 *
 * <p>A single caller waits for the answer before it continues its chat, so several requests in
 * flight indicate that many callers share one chat. Invariant: only chats with requests in flight
 * use memory. Confined to the coordination thread.
 */
final class ParallelChats {
  private static final int MAX_SPREAD_ENGINES = 64;
  private static final double SHARE_OF_MEAN = 0.25;

  private final Map<Long, Integer> inFlight = new HashMap<>();
  private long sequence;

  void recordStart(long key) {
    inFlight.merge(key, 1, Integer::sum);
  }

  void recordEnd(long key) {
    inFlight.computeIfPresent(key, (chat, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Returns how many of the chat's first candidates to skip.
   *
   * <p>The spread is wide enough that the chat adds only a small share of the mean load to each
   * engine if the other daemons have as many requests of the chat in flight.
   */
  int skipCount(long key, FleetPosition fleet, double meanLoad, int eligible) {
    Integer own = inFlight.get(key);
    if (own == null) {
      return 0;
    }
    double fleetRequests = (double) own * fleet.daemons();
    double engines = Math.ceil(fleetRequests / (SHARE_OF_MEAN * Math.max(1, meanLoad)));
    long spread = (long) Math.min(Math.min(engines, MAX_SPREAD_ENGINES), eligible);
    long draw = Rendezvous.weight(key, ++sequence * fleet.daemons() + fleet.rank());
    return (int) Long.remainderUnsigned(draw, Math.max(1, spread));
  }
}
