package org.ragworttide.daemon.relay;

import org.ragworttide.daemon.upstream.SseDecoder;
import org.ragworttide.daemon.upstream.SseEvent;
import org.ragworttide.daemon.upstream.UpstreamEvent;
import reactor.core.publisher.Flux;

/**
 * Item of an upstream's event stream; immutable, safe for use by any thread.
 *
 * <p>Invariant: nothing follows a failure or an oversized event.
 */
sealed interface StreamItem {

  /** The head of the answer. */
  record Head(UpstreamEvent.Head head) implements StreamItem {}

  /** A complete event. */
  record Event(SseEvent event) implements StreamItem {}

  /** The failure that ended the attempt. */
  record Failure(UpstreamEvent.Failure failure) implements StreamItem {}

  /** An event longer than allowed. */
  record Oversized() implements StreamItem {}

  /** Splits the data that an upstream sends into items. */
  static Flux<StreamItem> items(Flux<UpstreamEvent> events, int maxEventBytes) {
    SseDecoder decoder = new SseDecoder(maxEventBytes);
    return events
        .concatMap(event -> items(event, decoder))
        .takeUntil(item -> item instanceof Failure || item instanceof Oversized);
  }

  private static Flux<StreamItem> items(UpstreamEvent event, SseDecoder decoder) {
    return switch (event) {
      case UpstreamEvent.Head head -> Flux.just(new Head(head));
      case UpstreamEvent.Failure failure -> Flux.just(new Failure(failure));
      case UpstreamEvent.Chunk chunk -> {
        Flux<StreamItem> whole = Flux.fromIterable(decoder.decode(chunk.bytes())).map(Event::new);
        yield decoder.isOversized() ? whole.concatWithValues(new Oversized()) : whole;
      }
    };
  }
}
