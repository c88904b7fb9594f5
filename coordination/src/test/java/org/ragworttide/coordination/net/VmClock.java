package org.ragworttide.coordination.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.time.ManualTimerService;
import org.ragworttide.coordination.time.TimerService;

/**
 * Clock and timers of one state machine, with its own rate and origin, which can be paused.
 *
 * <p>Invariant: while the clock is paused no task runs but time continues, as under SIGSTOP; after
 * the stop no task runs. Not safe for use by several threads.
 */
public final class VmClock implements TimerService {
  private static final long MILLION = 1_000_000;

  private final ManualTimerService base;
  private final long millionths;
  private final List<Runnable> deferred = new ArrayList<>();
  private long originMillis;
  private boolean paused;
  private boolean stopped;

  /** Creates a clock that runs too fast by the given millionths and starts at the origin. */
  public VmClock(ManualTimerService base, long fastMillionths, long originMillis) {
    this.base = base;
    this.millionths = MILLION + fastMillionths;
    this.originMillis = originMillis;
  }

  @Override
  public long nowMillis() {
    return localAt(base.nowMillis());
  }

  /** Returns this clock's reading at a time of the base clock. */
  public long localAt(long baseMillis) {
    return originMillis + Math.floorDiv(baseMillis * millionths, MILLION);
  }

  /** Moves the reading forward by the given time. */
  public void jump(long millis) {
    originMillis += millis;
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    return base.after(baseDelay(delayMillis), deferrable(task));
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    return base.every(Math.max(1, baseDelay(periodMillis)), deferrable(task));
  }

  /** Wraps a receiver so that messages wait while the process is paused. */
  public BiConsumer<VmId, PeerMessage> deferWhilePaused(BiConsumer<VmId, PeerMessage> receiver) {
    return (from, message) -> deferrable(() -> receiver.accept(from, message)).run();
  }

  /** Pauses all tasks. */
  public void pause() {
    paused = true;
  }

  /** Resumes: runs the given task first, then the tasks deferred during the pause. */
  public void resume(Runnable first) {
    if (!paused) {
      return;
    }
    paused = false;
    first.run();
    List<Runnable> due = List.copyOf(deferred);
    deferred.clear();
    due.forEach(Runnable::run);
  }

  /** Stops the process permanently. */
  public void stop() {
    stopped = true;
  }

  /** Returns whether the process is running. */
  public boolean isRunning() {
    return !paused && !stopped;
  }

  private Runnable deferrable(Runnable task) {
    return () -> {
      if (paused) {
        deferred.add(task);
      } else if (!stopped) {
        task.run();
      }
    };
  }

  private long baseDelay(long delayMillis) {
    return Math.ceilDiv(delayMillis * MILLION, millionths);
  }
}
