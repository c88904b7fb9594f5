package org.ragworttide.bench.routing;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.ragworttide.coordination.hash.Rendezvous;

/**
 * Common load-balancing algorithms that serve as baselines for the router; confined to one thread.
 */
final class BaselineStrategy implements Strategy {

  /** Algorithm that selects an engine. */
  enum Kind {
    PLAIN_RENDEZVOUS,
    RANDOM,
    LEAST_LOADED
  }

  private final Kind kind;
  private final SplittableRandom random;
  private final boolean[][] inService;
  private final int[][] own;
  private final int[] reported;
  private final long[] hashes;

  BaselineStrategy(Kind kind, FleetSize size, long seed) {
    this.kind = kind;
    this.random = new SplittableRandom(seed);
    this.inService = new boolean[size.daemons()][size.engines()];
    this.own = new int[size.daemons()][size.engines()];
    this.reported = new int[size.engines()];
    this.hashes = new long[size.engines()];
    for (int engine = 0; engine < hashes.length; engine++) {
      hashes[engine] = Rendezvous.hash(RouterStrategy.id(engine).value());
    }
    for (boolean[] row : inService) {
      Arrays.fill(row, true);
    }
  }

  @Override
  public Choice choose(int daemon, int chat) {
    long key = Rendezvous.hash("chat-" + chat);
    int best = -1;
    double bestScore = Double.NEGATIVE_INFINITY;
    for (int engine = 0; engine < hashes.length; engine++) {
      double score =
          switch (kind) {
            case PLAIN_RENDEZVOUS -> Rendezvous.weight(key, hashes[engine]);
            case RANDOM -> random.nextDouble();
            case LEAST_LOADED -> -reported[engine] - own[daemon][engine] + random.nextDouble();
          };
      if (inService[daemon][engine] && score > bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    if (best < 0) {
      return null;
    }
    int engine = best;
    own[daemon][engine]++;
    return new Choice(engine, () -> own[daemon][engine]--);
  }

  @Override
  public void recordLoad(int engine, long incarnation, long measuredAtMillis, int load) {
    reported[engine] = load;
  }

  @Override
  public void setInService(int daemon, boolean[] newInService) {
    inService[daemon] = newInService.clone();
  }
}
