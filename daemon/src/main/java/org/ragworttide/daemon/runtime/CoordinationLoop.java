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
 * Runs all coordination on one thread, which also serves as the timer of the components.
 *
 * <p>Invariant: tasks run one after another; a task that throws has broken an invariant, and the
 * loop passes its exception to the handler given at construction. Safe for use by any thread.
 */
public final class CoordinationLoop implements TimerService, AutoCloseable {
  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<Throwable> onBrokenInvariant;

  /**
   * Starts the loop's thread.
   *
   * @param onBrokenInvariant called with every exception that a task throws
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
    return subscription(executor.schedule(guard(task), delayMillis, TimeUnit.MILLISECONDS));
  }

  @Override
  public Subscription every(long periodMillis, Runnable task) {
    // At a fixed rate, all periods missed during a pause would run at once and send their messages.
    return subscription(
        executor.scheduleWithFixedDelay(
            guard(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS));
  }

  /** Runs the task on the loop; ignored once the loop is closed. */
  public void execute(Runnable task) {
    try {
      executor.execute(guard(task));
    } catch (RejectedExecutionException e) {
      // The loop is closed, so nothing depends on the effect of the task any more.
    }
  }

  /** Runs an asynchronous operation on the loop and returns its result as a publisher. */
  public <T> Mono<T> call(Consumer<Consumer<T>> operation) {
    return Mono.create((MonoSink<T> sink) -> execute(() -> operation.accept(sink::success)));
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

  private static Subscription subscription(ScheduledFuture<?> future) {
    return () -> future.cancel(false);
  }
}
