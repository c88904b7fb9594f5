package org.ragworttide.bench.routing;

import java.util.SplittableRandom;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Runs a task at random (Poisson) arrival times with a constant mean rate.
 *
 * <p>Invariant: the mean rate holds even if several arrivals fall into the same millisecond.
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

  /** Schedules the next arrival; each arrival schedules its successor. */
  void start() {
    nextMillis += Trace.exponential(random, meanMillis);
    time.after(Math.max(0, (long) nextMillis - time.nowMillis()), this::arrive);
  }

  private void arrive() {
    task.run();
    start();
  }
}
