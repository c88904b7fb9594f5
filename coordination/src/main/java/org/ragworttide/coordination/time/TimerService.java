package org.ragworttide.coordination.time;

/**
 * Provides the time and runs scheduled tasks.
 *
 * <p>Invariant: {@link #nowMillis()} never decreases and has no fixed origin; its values are
 * comparable only within one process. Tasks run on the coordination thread, never concurrently.
 */
public interface TimerService {

  /** Returns the milliseconds since an arbitrary origin of this process. */
  long nowMillis();

  /**
   * Runs the task once after the delay.
   *
   * @param delayMillis milliseconds to wait, zero or more
   * @param task the task
   * @return the subscription, which can cancel the task before it runs
   */
  Subscription after(long delayMillis, Runnable task);

  /**
   * Runs the task repeatedly, first after one period.
   *
   * @param periodMillis milliseconds between runs, positive
   * @param task the task
   * @return the subscription, which can end the repetition
   */
  Subscription every(long periodMillis, Runnable task);

  /** Handle of a scheduled task. */
  @FunctionalInterface
  interface Subscription {

    /** Cancels the subscription; cancelling again has no effect. */
    void cancel();
  }
}
