package org.ragworttide.coordination.time;

/**
 * Tells the time and calls back parts that subscribe to it.
 *
 * <p>Invariant: {@link #nowMillis()} never goes back and has no fixed origin; it is comparable only
 * within one process. Callbacks run on the coordination thread, never concurrently.
 */
public interface TimerService {

  /** Returns the milliseconds since an arbitrary origin of this process. */
  long nowMillis();

  /**
   * Runs the task once after the delay.
   *
   * @param delayMillis milliseconds to wait, zero or more
   * @param task what to run
   * @return the subscription, to cancel the task before it has run
   */
  Subscription after(long delayMillis, Runnable task);

  /**
   * Runs the task repeatedly, first after one period.
   *
   * @param periodMillis milliseconds between runs, positive
   * @param task what to run
   * @return the subscription, to end the repetition
   */
  Subscription every(long periodMillis, Runnable task);

  /** Ends a subscription to the timer service. */
  @FunctionalInterface
  interface Subscription {

    /** Cancels the subscription; cancelling again has no effect. */
    void cancel();
  }
}
