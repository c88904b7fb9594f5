package org.ragworttide.coordination.time;

import java.util.PriorityQueue;

/**
 * Timer service whose time advances only by calls of {@link #advance}, for deterministic tests and
 * simulations of embedders.
 *
 * <p>Invariant: tasks that are due at the same time run in the order in which they were scheduled.
 * Not safe for use by several threads.
 */
public final class ManualTimerService implements TimerService {
  private final PriorityQueue<Task> tasks = new PriorityQueue<>();
  private long nowMillis;
  private long nextSequence;

  @Override
  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    if (delayMillis < 0) {
      throw new IllegalArgumentException("delayMillis must not be negative");
    }
    return add(delayMillis, 0, task);
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    if (periodMillis <= 0) {
      throw new IllegalArgumentException("periodMillis must be positive");
    }
    return add(periodMillis, periodMillis, task);
  }

  /**
   * Advances the time and runs the tasks that become due, in order.
   *
   * @param millis milliseconds to advance, zero or more
   */
  public void advance(long millis) {
    long target = nowMillis + millis;
    while (!tasks.isEmpty() && tasks.peek().dueMillis <= target) {
      Task task = tasks.poll();
      nowMillis = Math.max(nowMillis, task.dueMillis);
      run(task);
    }
    nowMillis = target;
  }

  private void run(Task task) {
    if (task.cancelled) {
      return;
    }
    if (task.periodMillis > 0) {
      task.dueMillis += task.periodMillis;
      tasks.add(task);
    }
    task.action.run();
  }

  private Subscription add(long delayMillis, long periodMillis, Runnable action) {
    Task task = new Task(nowMillis + delayMillis, periodMillis, nextSequence++, action);
    tasks.add(task);
    return () -> task.cancelled = true;
  }

  private static final class Task implements Comparable<Task> {
    private final long periodMillis;
    private final long sequence;
    private final Runnable action;
    private long dueMillis;
    private boolean cancelled;

    private Task(long dueMillis, long periodMillis, long sequence, Runnable action) {
      this.dueMillis = dueMillis;
      this.periodMillis = periodMillis;
      this.sequence = sequence;
      this.action = action;
    }

    @Override
    public int compareTo(Task other) {
      int byTime = Long.compare(dueMillis, other.dueMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
