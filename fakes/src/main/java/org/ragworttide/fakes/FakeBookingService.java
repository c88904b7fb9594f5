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
 * Fake plain service whose bookings must not be repeated; it does not detect duplicates.
 *
 * <p>The paths under {@code /control} control the fake. Invariant: each arrival of a booking counts
 * as one run. Safe for use by any thread.
 */
public final class FakeBookingService implements AutoCloseable {
  private static final String NO_KEY = "";

  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final AtomicInteger bookings = new AtomicInteger();
  private final AtomicInteger drops = new AtomicInteger();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger answers = new AtomicInteger();
  private final ConcurrentNavigableMap<Integer, Integer> maxInFlightByAnswers =
      new ConcurrentSkipListMap<>();
  private final CallerKeyCounter keys;
  private volatile long delayMillis;
  private final DisposableServer server;

  private FakeBookingService(int port, Set<String> keys) {
    this.keys = new CallerKeyCounter(keys);
    server = LoopbackServer.start(port, this::routes);
  }

  /**
   * Starts the fake service.
   *
   * @param port its port; 0 for any free port
   * @param keys callers' keys, which must never reach it
   */
  public static FakeBookingService start(int port, Set<String> keys) {
    return new FakeBookingService(port, keys);
  }

  /** Returns the port it listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the number of runs of bookings with an idempotency key. */
  public int runs(String idempotencyKey) {
    AtomicInteger count = runs.get(idempotencyKey);
    return count == null ? 0 : count.get();
  }

  /** Returns the number of runs of bookings. */
  public int runs() {
    return bookings.get();
  }

  /**
   * Returns the maximum number of bookings in flight before the service has sent {@code answered}
   * answers.
   */
  public int maxInFlightBefore(int answered) {
    return maxInFlightByAnswers.headMap(answered).values().stream()
        .mapToInt(i -> i)
        .max()
        .orElse(0);
  }

  /** Returns the number of answers to bookings. */
  public int answers() {
    return answers.get();
  }

  /** Sets the time before each answer to a booking. */
  public void setAnswerDelayMillis(long millis) {
    delayMillis = millis;
  }

  /** Returns the number of requests that carried a caller's key. */
  public int keysSeen() {
    return keys.count();
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
    keys.inspect(in);
    String key = in.requestHeaders().get("Idempotency-Key", NO_KEY);
    return LoopbackServer.body(in)
        .flatMap(body -> run(key, out))
        .doOnSubscribe(unused -> recordArrival())
        .doFinally(unused -> inFlight.decrementAndGet());
  }

  private void recordArrival() {
    maxInFlightByAnswers.merge(answers.get(), inFlight.incrementAndGet(), Math::max);
  }

  private Mono<Void> run(String key, HttpServerResponse out) {
    runs.computeIfAbsent(key, ignored -> new AtomicInteger()).incrementAndGet();
    int number = bookings.incrementAndGet();
    if (drops.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
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
    keys.inspect(in);
    return LoopbackServer.json(out, new Hours("08:00", "20:00"));
  }

  private Publisher<Void> stats(HttpServerRequest in, HttpServerResponse out) {
    return LoopbackServer.json(out, new Stats(bookings.get(), runs, keys.count()));
  }

  private Publisher<Void> pace(HttpServerRequest in, HttpServerResponse out) {
    delayMillis = LoopbackServer.number(in, "delayMillis", 0);
    return out.send();
  }

  /** Makes the service run the next bookings and close their connections without an answer. */
  private Publisher<Void> drop(HttpServerRequest in, HttpServerResponse out) {
    drops.set((int) LoopbackServer.number(in, "times", 1));
    return out.send();
  }
}
