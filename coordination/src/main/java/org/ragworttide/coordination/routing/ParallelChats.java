package org.ragworttide.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Counts this daemon's requests in flight by chat, and spreads chats that send several at once.
 *
 * <p>A chat waits for an answer before it goes on, so several requests in flight are a sign of many
 * callers behind one chat. Invariant: only chats in flight take memory. Confined to the
 * coordination thread.
 */
final class ParallelChats {
  private static final int MAX_SPREAD = 64;
  private static final double SHARE_OF_MEAN = 0.25;

  private final Map<Long, Integer> inFlight = new HashMap<>();
  private long sequence;

  void started(long key) {
    inFlight.merge(key, 1, Integer::sum);
  }

  void ended(long key) {
    inFlight.computeIfPresent(key, (chat, count) -> count > 1 ? count - 1 : null);
  }

  /**
   * Returns how many of the chat's first candidates to pass over.
   *
   * <p>The spread is wide enough that each engine gets a small share of the mean load from the
   * chat, if the other daemons see as much of it.
   */
  int passOver(long key, FleetShare fleet, double meanLoad, int eligible) {
    Integer own = inFlight.get(key);
    if (own == null) {
      return 0;
    }
    double wholeFleet = (double) own * fleet.daemons();
    double engines = Math.ceil(wholeFleet / (SHARE_OF_MEAN * Math.max(1, meanLoad)));
    long spread = (long) Math.min(Math.min(engines, MAX_SPREAD), eligible);
    long draw = Rendezvous.weight(key, ++sequence * fleet.daemons() + fleet.rank());
    return (int) Long.remainderUnsigned(draw, Math.max(1, spread));
  }
}
