package org.ragworttide.daemon.relay;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragworttide.daemon.upstream.UpstreamEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Ends a stream from which nothing comes although more is wanted.
 *
 * <p>Invariant: time during which the caller takes nothing does not count. Signals of one stream
 * may come from several threads.
 */
final class StallDetector {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int CHECKS_PER_LIMIT = 4;

  private final long firstNanos;
  private final long nextNanos;
  private long outstanding;
  private boolean begun;
  private long lastNanos = System.nanoTime();

  private StallDetector(long firstMillis, long nextMillis) {
    this.firstNanos = firstMillis * NANOS_PER_MILLI;
    this.nextNanos = nextMillis * NANOS_PER_MILLI;
  }

  /**
   * Returns the events, with a stall in place of what does not come in time.
   *
   * @param firstMillis longest time until the first event
   * @param nextMillis longest time until a later one
   */
  static Flux<UpstreamEvent> watch(Flux<UpstreamEvent> events, long firstMillis, long nextMillis) {
    return Flux.defer(
        () -> {
          StallDetector detector = new StallDetector(firstMillis, nextMillis);
          AtomicBoolean stalled = new AtomicBoolean();
          long periodMillis = Math.max(1, Math.min(firstMillis, nextMillis) / CHECKS_PER_LIMIT);
          Mono<Long> stall =
              Flux.interval(Duration.ofMillis(periodMillis))
                  .filter(unused -> detector.stalled())
                  .next()
                  .doOnNext(unused -> stalled.set(true));
          return events
              .doOnNext(unused -> detector.received())
              .doOnRequest(detector::requested)
              .takeUntilOther(stall)
              .concatWith(Flux.defer(() -> ending(stalled.get())));
        });
  }

  private static Flux<UpstreamEvent> ending(boolean stalled) {
    return stalled ? Flux.just(new UpstreamEvent.Stalled()) : Flux.empty();
  }

  private synchronized void requested(long count) {
    if (outstanding == 0) {
      lastNanos = System.nanoTime();
    }
    outstanding = count > Long.MAX_VALUE - outstanding ? Long.MAX_VALUE : outstanding + count;
  }

  private synchronized void received() {
    outstanding--;
    begun = true;
    lastNanos = System.nanoTime();
  }

  private synchronized boolean stalled() {
    long limitNanos = begun ? nextNanos : firstNanos;
    return outstanding > 0 && System.nanoTime() - lastNanos > limitNanos;
  }
}
