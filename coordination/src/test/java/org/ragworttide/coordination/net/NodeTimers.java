package org.ragworttide.coordination.net;

import java.util.ArrayDeque;
import java.util.Queue;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.coordination.time.TimerService;

/**
 * The clock of one process in a test, which runs at its own rate and goes on while the process is
 * paused.
 *
 * <p>Invariant: while paused or ended no callback runs; after a pause those due run in order. Not
 * safe for use by several threads.
 */
public final class NodeTimers implements TimerService {
  private final ManualTimerService world;
  private final double rate;
  private final Queue<Runnable> late = new ArrayDeque<>();
  private boolean paused;
  private boolean ended;

  /** Starts a clock that runs at the given rate of the world's. */
  public NodeTimers(ManualTimerService world, double rate) {
    this.world = world;
    this.rate = rate;
  }

  @Override
  public long nowMillis() {
    return (long) (world.nowMillis() * rate);
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    return world.after((long) Math.ceil(delayMillis / rate), () -> run(task));
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    return world.every((long) Math.ceil(periodMillis / rate), () -> run(task));
  }

  /** Runs the task now, or when the process is resumed. */
  public void run(Runnable task) {
    if (ended) {
      return;
    }
    if (paused) {
      late.add(task);
    } else {
      task.run();
    }
  }

  /** Pauses the process. */
  public void pause() {
    paused = true;
  }

  /** Resumes the process and runs what is late. */
  public void resume() {
    paused = false;
    while (!late.isEmpty() && !paused && !ended) {
      late.remove().run();
    }
  }

  /** Ends the process. */
  public void end() {
    ended = true;
    late.clear();
  }

  /** Tells whether the process is paused. */
  public boolean isPaused() {
    return paused;
  }
}
