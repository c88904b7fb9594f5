package org.ragworttide.coordination.net;

import java.util.ArrayDeque;
import java.util.Queue;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.coordination.time.TimerService;

/**
 * Clock and timers of one process in a test. The clock runs at its own rate and continues while the
 * process is paused.
 *
 * <p>Invariant: while the process is paused or ended no callback runs; after a pause the callbacks
 * that became due run in order. Not safe for use by several threads.
 */
public final class NodeTimers implements TimerService {
  private final ManualTimerService baseTime;
  private final double rate;
  private final Queue<Runnable> deferred = new ArrayDeque<>();
  private boolean paused;
  private boolean ended;

  /** Creates a clock that runs at the given rate relative to the base time. */
  public NodeTimers(ManualTimerService baseTime, double rate) {
    this.baseTime = baseTime;
    this.rate = rate;
  }

  @Override
  public long nowMillis() {
    return (long) (baseTime.nowMillis() * rate);
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    return baseTime.after((long) Math.ceil(delayMillis / rate), () -> run(task));
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    return baseTime.every((long) Math.ceil(periodMillis / rate), () -> run(task));
  }

  /** Runs the task now, or when the process is resumed. */
  public void run(Runnable task) {
    if (ended) {
      return;
    }
    if (paused) {
      deferred.add(task);
    } else {
      task.run();
    }
  }

  /** Pauses the process. */
  public void pause() {
    paused = true;
  }

  /** Resumes the process and runs the deferred tasks. */
  public void resume() {
    paused = false;
    while (!deferred.isEmpty() && !paused && !ended) {
      deferred.remove().run();
    }
  }

  /** Ends the process. */
  public void end() {
    ended = true;
    deferred.clear();
  }

  /** Returns whether the process is paused. */
  public boolean isPaused() {
    return paused;
  }
}
