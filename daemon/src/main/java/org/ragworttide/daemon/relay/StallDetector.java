package org.ragworttide.daemon.relay;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ragworttide.daemon.upstream.UpstreamEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Ends a stream that delivers no event although the subscriber has requested more.
 *
 * <p>Invariant: time during which the subscriber requests nothing does not count. Signals of one
 * stream may arrive on several threads.
 */
final class StallDetector {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int CHECKS_PER_LIMIT = 4;

  private final long firstLimitNanos;
  private final long nextLimitNanos;
  private long outstanding;
  private boolean firstReceived;
  private long lastActivityNanos = System.nanoTime();

  private StallDetector(long firstMillis, long nextMillis) {
    this.firstLimitNanos = firstMillis * NANOS_PER_MILLI;
    this.nextLimitNanos = nextMillis * NANOS_PER_MILLI;
  }

  /**
   * Returns the events, ended by a stall event if the next event does not arrive in time.
   *
   * @param firstMillis longest time until the first event
   * @param nextMillis longest time until each later event
   */
  static Flux<UpstreamEvent> watch(Flux<UpstreamEvent> events, long firstMillis, long nextMillis) {
    return Flux.defer(
        () -> {
          StallDetector detector = new StallDetector(firstMillis, nextMillis);
          AtomicBoolean stalled = new AtomicBoolean();
          long periodMillis = Math.max(1, Math.min(firstMillis, nextMillis) / CHECKS_PER_LIMIT);
          Mono<Long> stall =
              Flux.interval(Duration.ofMillis(periodMillis))
                  .filter(unused -> detector.isStalled())
                  .next()
                  .doOnNext(unused -> stalled.set(true));
          return events
              .doOnNext(unused -> detector.recordReceived())
              .doOnRequest(detector::recordRequested)
              .takeUntilOther(stall)
              .concatWith(Flux.defer(() -> stallEvent(stalled.get())));
        });
  }

  private static Flux<UpstreamEvent> stallEvent(boolean stalled) {
    return stalled ? Flux.just(new UpstreamEvent.Stalled()) : Flux.empty();
  }

  private synchronized void recordRequested(long count) {
    if (outstanding == 0) {
      lastActivityNanos = System.nanoTime();
    }
    outstanding = count > Long.MAX_VALUE - outstanding ? Long.MAX_VALUE : outstanding + count;
  }

  private synchronized void recordReceived() {
    outstanding--;
    firstReceived = true;
    lastActivityNanos = System.nanoTime();
  }

  private synchronized boolean isStalled() {
    long limitNanos = firstReceived ? nextLimitNanos : firstLimitNanos;
    return outstanding > 0 && System.nanoTime() - lastActivityNanos > limitNanos;
  }
}
