package org.ragworttide.daemon.relay;

import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Counts operations in progress, so that a shutdown can wait for them.
 *
 * <p>Invariant: once closed, no operation is in progress and none starts. Safe for use by any
 * thread.
 */
public final class InFlightCounter {
  private static final int CLOSED = -1;

  private final AtomicInteger count = new AtomicInteger();
  private final Sinks.Many<Integer> idle = Sinks.many().multicast().directBestEffort();

  /** Records the start of an operation. */
  public void increment() {
    count.incrementAndGet();
  }

  /** Records the start of an operation; returns false if the counter is closed. */
  public boolean tryIncrement() {
    return count.getAndUpdate(it -> it == CLOSED ? CLOSED : it + 1) != CLOSED;
  }

  /** Lets no operation start any more, unless one is in progress; returns whether it is closed. */
  public boolean closeIfIdle() {
    return count.compareAndSet(0, CLOSED) || count.get() == CLOSED;
  }

  /** Records the end of an operation. */
  public void decrement() {
    if (count.decrementAndGet() == 0) {
      idle.tryEmitNext(0);
    }
  }

  /** Returns the number of operations in progress. */
  public int count() {
    return Math.max(0, count.get());
  }

  /** Returns a signal that completes when no operation is in progress. */
  public Mono<Void> whenIdle() {
    return idle.asFlux()
        .mergeWith(Mono.fromSupplier(this::count))
        .filter(unused -> count() == 0)
        .next()
        .then();
  }
}
