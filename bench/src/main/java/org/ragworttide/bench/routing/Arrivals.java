package org.ragworttide.bench.routing;

import java.util.SplittableRandom;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Calls a task back at random times of a steady rate.
 *
 * <p>Invariant: the rate holds in the mean also when several calls fall into a millisecond.
 * Confined to one thread.
 */
final class Arrivals {
  private final ManualTimerService time;
  private final SplittableRandom random;
  private final double meanMillis;
  private final Runnable task;
  private double nextMillis;

  Arrivals(ManualTimerService time, SplittableRandom random, double perSecond, Runnable task) {
    this.time = time;
    this.random = random;
    this.meanMillis = 1_000 / perSecond;
    this.task = task;
    this.nextMillis = time.nowMillis();
  }

  /** Waits for the next time, and so on. */
  void start() {
    nextMillis += Trace.exponential(random, meanMillis);
    time.after(Math.max(0, (long) nextMillis - time.nowMillis()), this::arrive);
  }

  private void arrive() {
    task.run();
    start();
  }
}
