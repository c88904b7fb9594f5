package org.ragworttide.bench.routing;

import java.util.List;

/**
 * One router that knows every cache and every load at once; the best that could be done.
 *
 * <p>Invariant: no engine gets work above the multiple of the mean. Confined to one thread.
 */
final class AllKnowingStrategy implements Strategy {
  private final List<EngineFake> engines;
  private final double loadMultiple;
  private boolean[] open;

  AllKnowingStrategy(List<EngineFake> engines, double loadMultiple, boolean[] open) {
    this.engines = engines;
    this.loadMultiple = loadMultiple;
    this.open = open;
  }

  @Override
  public Choice choose(int daemon, int chat) {
    int total = 0;
    int count = 0;
    int least = -1;
    int holder = -1;
    for (int i = 0; i < engines.size(); i++) {
      if (open[i]) {
        EngineFake engine = engines.get(i);
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
  public void report(int engine, long incarnation, long measuredAtMillis, int load) {}

  @Override
  public void open(int daemon, boolean[] nowOpen) {
    open = nowOpen;
  }
}
