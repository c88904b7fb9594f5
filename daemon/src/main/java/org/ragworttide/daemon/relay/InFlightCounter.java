package org.ragworttide.daemon.relay;

import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Counts operations in progress, so that a shutdown can wait for them.
 *
 * <p>Invariant: the count is not negative. Safe for use by any thread.
 */
public final class InFlightCounter {
  private final AtomicInteger count = new AtomicInteger();
  private final Sinks.Many<Integer> idle = Sinks.many().multicast().directBestEffort();

  /** Records the start of an operation. */
  public void increment() {
    count.incrementAndGet();
  }

  /** Records the end of an operation. */
  public void decrement() {
    if (count.decrementAndGet() == 0) {
      idle.tryEmitNext(0);
    }
  }

  /** Returns the number of operations in progress. */
  public int count() {
    return count.get();
  }

  /** Returns a signal that completes when no operation is in progress. */
  public Mono<Void> whenIdle() {
    return idle.asFlux()
        .mergeWith(Mono.fromSupplier(count::get))
        .filter(unused -> count.get() == 0)
        .next()
        .then();
  }
}
