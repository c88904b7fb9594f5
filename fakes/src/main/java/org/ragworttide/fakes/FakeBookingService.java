package org.ragworttide.fakes;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentNavigableMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Stands in for a plain service whose bookings must not be repeated; it removes no duplicates.
 *
 * <p>The paths under {@code /control} steer the stand-in. Invariant: each arrival of a booking
 * counts as one run. Safe for use by any thread.
 */
public final class FakeBookingService implements AutoCloseable {
  private static final String NO_KEY = "";

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger bookings = new AtomicInteger();
  private final AtomicInteger drops = new AtomicInteger();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger answers = new AtomicInteger();
  private final ConcurrentNavigableMap<Integer, Integer> highestByAnswers =
      new ConcurrentSkipListMap<>();
  private final KeyWatch keys;
  private volatile long delayMillis;
  private final DisposableServer server;

  private FakeBookingService(int port, Set<String> keys) {
    this.keys = new KeyWatch(keys);
    server = LoopbackServer.start(port, this::routes);
  }

  /**
   * Starts the stand-in.
   *
   * @param port its port; 0 lets the machine choose
   * @param keys callers' keys, which it must never see
   */
  public static FakeBookingService start(int port, Set<String> keys) {
    return new FakeBookingService(port, keys);
  }

  /** Returns the port it listens on. */
  public int port() {
    return server.port();
  }

  /** Returns how many bookings ran under an idempotency key. */
  public int runs(String idempotencyKey) {
    AtomicInteger count = runs.get(idempotencyKey);
    return count == null ? 0 : count.get();
  }

  /** Returns how many bookings ran. */
  public int runs() {
    return bookings.get();
  }

  /** Returns the most bookings at once before the given number of them was answered. */
  public int highestBefore(int answered) {
    return highestByAnswers.headMap(answered).values().stream().mapToInt(i -> i).max().orElse(0);
  }

  /** Returns how many bookings were answered. */
  public int answers() {
    return answers.get();
  }

  /** Sets how long each booking takes. */
  public void answerAfter(long millis) {
    delayMillis = millis;
  }

  /** Returns how many requests carried a caller's key. */
  public int keysSeen() {
    return keys.seen();
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofSeconds(1));
  }

  private record Booking(int booking, String key) {}

  private record Hours(String open, String close) {}

  private record Stats(int bookings, Map<String, AtomicInteger> runs, int keysSeen) {}

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/bookings", this::book)
        .get("/opening-hours", this::hours)
        .get("/control/stats", this::stats)
        .post("/control/pace", this::pace)
        .post("/control/drop", this::drop);
  }

  private Publisher<Void> book(HttpServerRequest in, HttpServerResponse out) {
    keys.look(in);
    String key = in.requestHeaders().get("Idempotency-Key", NO_KEY);
    return LoopbackServer.body(in)
        .flatMap(body -> run(key, out))
        .doOnSubscribe(unused -> enter())
        .doFinally(unused -> inFlight.decrementAndGet());
  }

  private void enter() {
    highestByAnswers.merge(answers.get(), inFlight.incrementAndGet(), Math::max);
  }

  private Mono<Void> run(String key, HttpServerResponse out) {
    runs.computeIfAbsent(key, ignored -> new AtomicInteger()).incrementAndGet();
    int number = bookings.incrementAndGet();
    if (drops.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      out.withConnection(connection -> connection.channel().close());
      return Mono.never();
    }
    return Mono.delay(Duration.ofMillis(delayMillis))
        .doOnNext(unused -> answers.incrementAndGet())
        .then(
            Mono.from(
                LoopbackServer.json(
                    out.status(HttpResponseStatus.CREATED), new Booking(number, key))));
  }

  private Publisher<Void> hours(HttpServerRequest in, HttpServerResponse out) {
    keys.look(in);
    return LoopbackServer.json(out, new Hours("08:00", "20:00"));
  }

  private Publisher<Void> stats(HttpServerRequest in, HttpServerResponse out) {
    return LoopbackServer.json(out, new Stats(bookings.get(), runs, keys.seen()));
  }

  private Publisher<Void> pace(HttpServerRequest in, HttpServerResponse out) {
    delayMillis = LoopbackServer.number(in, "delayMillis", 0);
    return out.send();
  }

  /** Makes the next bookings run and then lose their answers. */
  private Publisher<Void> drop(HttpServerRequest in, HttpServerResponse out) {
    drops.set((int) LoopbackServer.number(in, "times", 1));
    return out.send();
  }
}
