package org.ragworttide.fakes;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * Execution of one chat request on a fake engine.
 *
 * <p>Invariant: the engine counts its arrival once and its end once. Used by one connection's
 * thread.
 */
final class ChatRun {
  private final EngineState state;
  private final HttpServerRequest in;
  private final HttpServerResponse out;
  private final EngineState.Pace pace;
  private final int crashAfter;
  private final int stallAfter;
  private boolean hit;
  private volatile boolean answeredWhole;

  ChatRun(EngineState state, HttpServerRequest in, HttpServerResponse out) {
    this.state = state;
    this.in = in;
    this.out = out;
    pace = state.pace();
    crashAfter = state.consumeCrash();
    stallAfter = state.consumeStall();
  }

  Mono<Void> answer(byte[] body) {
    AtomicReference<Connection> connection = new AtomicReference<>();
    out.withConnection(connection::set);
    String chat = in.requestHeaders().get("Chat-Id");
    hit = state.prefixes.add(chat == null ? ChatAnswer.prefix(body) : chat);
    long incarnation = state.recordArrival(connection.get(), hit);
    return run(body)
        .doFinally(signal -> state.recordEnd(connection.get(), incarnation, answeredWhole));
  }

  private Mono<Void> run(byte[] body) {
    boolean crashesEngine =
        new String(body, StandardCharsets.UTF_8).contains(FakeEngine.CRASHING_TEXT);
    if (crashesEngine || state.isOverloaded() || crashAfter == 0) {
      return crash();
    }
    ChatAnswer answer = ChatAnswer.to(body, pace.chunks());
    out.header("Cache-Reuse", hit ? "hit" : "miss");
    return Json.parse(body).path("stream").asBoolean() ? stream(answer) : whole(answer);
  }

  private Mono<Void> crash() {
    return Mono.<Void>never().doOnSubscribe(subscription -> state.crash());
  }

  private Mono<Void> whole(ChatAnswer answer) {
    long millis = firstDelayMillis() + answer.chunks() * pace.chunkDelayMillis();
    out.header("Content-Type", "application/json");
    Mono<byte[]> sent = Mono.fromSupplier(answer::whole).doOnNext(bytes -> answeredWhole = true);
    return Mono.delay(Duration.ofMillis(millis))
        .then(crashAfter > 0 ? crash() : out.sendByteArray(sent).then());
  }

  private Mono<Void> stream(ChatAnswer answer) {
    int start = Math.min(in.requestHeaders().getInt("Stream-Resume-After", 0), answer.chunks());
    Flux<String> events =
        Flux.range(start, answer.chunks() - start)
            .concatMap(index -> event(answer, index, index - start), 1)
            .concatWithValues("data: [DONE]\n\n")
            .doOnComplete(() -> answeredWhole = true)
            .delaySubscription(Duration.ofMillis(firstDelayMillis()));
    return out.sse()
        .sendByteArray(events.map(event -> event.getBytes(StandardCharsets.UTF_8)))
        .then();
  }

  private Mono<String> event(ChatAnswer answer, int index, int sent) {
    if (sent == crashAfter) {
      return crash().cast(String.class);
    }
    if (sent == stallAfter) {
      return Mono.never();
    }
    Mono<String> event = Mono.just(answer.event(index));
    return pace.chunkDelayMillis() == 0
        ? event
        : event.delayElement(Duration.ofMillis(pace.chunkDelayMillis()));
  }

  private long firstDelayMillis() {
    return hit ? 0 : pace.missDelayMillis();
  }
}
