package org.ragworttide.daemon.relay;

import java.util.concurrent.atomic.AtomicInteger;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * Counts work in progress, so that a stop can wait for it.
 *
 * <p>Invariant: the count is not negative. Safe for use by any thread.
 */
public final class InFlight {
  private final AtomicInteger count = new AtomicInteger();
  private final Sinks.Many<Integer> idle = Sinks.many().multicast().directBestEffort();

  /** Counts a piece of work. */
  public void enter() {
    count.incrementAndGet();
  }

  /** Ends a piece of work. */
  public void exit() {
    if (count.decrementAndGet() == 0) {
      idle.tryEmitNext(0);
    }
  }

  /** Returns the pieces of work in progress. */
  public int count() {
    return count.get();
  }

  /** Completes when no work is in progress. */
  public Mono<Void> idle() {
    return idle.asFlux()
        .mergeWith(Mono.fromSupplier(count::get))
        .filter(unused -> count.get() == 0)
        .next()
        .then();
  }
}
