package org.ragworttide.bench.routing;

import java.util.List;

/**
 * Oracle with instant knowledge of every request, cache and load of the fleet; the reference for
 * the other strategies. Its choice is greedy, so another strategy may do better.
 *
 * <p>Invariant: no engine receives work above the load multiple of the mean. Confined to one
 * thread.
 */
final class OracleStrategy implements Strategy {
  private final List<SimulatedEngine> engines;
  private final double loadMultiple;
  private boolean[] inService;

  OracleStrategy(List<SimulatedEngine> engines, double loadMultiple, boolean[] inService) {
    this.engines = engines;
    this.loadMultiple = loadMultiple;
    this.inService = inService;
  }

  @Override
  public Choice choose(int daemon, int chat) {
    int total = 0;
    int count = 0;
    int least = -1;
    int holder = -1;
    for (int i = 0; i < engines.size(); i++) {
      if (inService[i]) {
        SimulatedEngine engine = engines.get(i);
        total += engine.inFlight();
        count++;
        least = least < 0 || isLess(i, least) ? i : least;
        holder = engine.has(chat) && (holder < 0 || isLess(i, holder)) ? i : holder;
      }
    }
    double bound = loadMultiple * (total + 1) / Math.max(1, count);
    boolean fits = holder >= 0 && engines.get(holder).inFlight() + 1 <= Math.max(1, bound);
    int chosen = fits ? holder : least;
    return chosen < 0 ? null : new Choice(chosen, () -> {});
  }

  private boolean isLess(int engine, int other) {
    return engines.get(engine).inFlight() < engines.get(other).inFlight();
  }

  @Override
  public void recordLoad(int engine, long incarnation, long measuredAtMillis, int load) {}

  @Override
  public void setInService(int daemon, boolean[] newInService) {
    inService = newInService;
  }
}
