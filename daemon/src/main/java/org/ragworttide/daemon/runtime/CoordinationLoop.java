package org.ragworttide.daemon.runtime;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragworttide.coordination.time.TimerService;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Runs all coordination on one thread, which is also the timer service of its parts.
 *
 * <p>Invariant: tasks run one after another; a task that throws has broken an invariant and is
 * reported to the handler given at construction. Safe for use by any thread.
 */
public final class CoordinationLoop implements TimerService, AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<Throwable> onBrokenInvariant;

  /**
   * Starts the loop's thread.
   *
   * @param onBrokenInvariant told of every exception that leaves a task
   */
  public CoordinationLoop(Consumer<Throwable> onBrokenInvariant) {
    this.onBrokenInvariant = onBrokenInvariant;
    this.executor =
        new ScheduledThreadPoolExecutor(
            1, task -> Thread.ofPlatform().name("coordination").daemon(true).unstarted(task));
    executor.setRemoveOnCancelPolicy(true);
  }

  @Override
  public long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  @Override
  public Subscription after(long delayMillis, Runnable task) {
    return cancelling(executor.schedule(guard(task), delayMillis, TimeUnit.MILLISECONDS));
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    // A fixed rate would make up for all periods missed in a pause at once, with their messages.
    return cancelling(
        executor.scheduleWithFixedDelay(
            guard(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS));
  }

  /** Runs the task on the loop; ignored once the loop is closed. */
  public void execute(Runnable task) {
    try {
      executor.execute(guard(task));
    } catch (RejectedExecutionException e) {
      // The loop has closed: nobody waits for the task's effect any more.
    }
  }

  /** Calls an asynchronous part on the loop and returns its answer as a publisher. */
  public <T> Mono<T> call(Consumer<Consumer<T>> part) {
    return Mono.create((MonoSink<T> sink) -> execute(() -> part.accept(sink::success)));
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private Runnable guard(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        onBrokenInvariant.accept(e);
      }
    };
  }

  private static Subscription cancelling(ScheduledFuture<?> future) {
    return () -> future.cancel(false);
  }
}
