package org.ragworttide.fakes;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Set;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Fake model engine: answers chats, caches prompt prefixes and simulates failures on command.
 *
 * <p>The paths under {@code /control} control the fake and are not part of an engine's interface.
 * Invariant: the same messages always get the same answer. Safe for use by any thread.
 */
public final class FakeEngine implements AutoCloseable {
  /** A request whose body holds this text crashes every engine that runs it. */
  public static final String CRASHING_TEXT = "crash-every-engine";

  private final String id;
  private final EngineState state;
  private final DisposableServer server;

  private FakeEngine(String id, int port, Set<String> keys) {
    this.id = id;
    state = new EngineState(keys);
    server = LoopbackServer.start(port, this::routes);
  }

  /**
   * Starts the fake engine.
   *
   * @param id its id in the configuration document
   * @param port its port; 0 for any free port
   * @param keys callers' keys, which must never reach it
   */
  public static FakeEngine start(String id, int port, Set<String> keys) {
    return new FakeEngine(id, port, keys);
  }

  /** Returns the port it listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the engine's load report. */
  public LoadReport report() {
    EngineStats stats = state.stats();
    return new LoadReport(
        id,
        stats.incarnation(),
        stats.inFlight(),
        0,
        System.nanoTime() / 1_000_000,
        state.weights.state());
  }

  /**
   * Makes the engine accept orders and serve only the models that they loaded.
   *
   * @param checksFencing whether it refuses an order with an old fencing number
   */
  public void acceptOrders(boolean checksFencing) {
    state.weights.acceptOrders(checksFencing);
  }

  /** Returns the number of models and adapters that the engine fetched. */
  public long fetches() {
    return state.weights.fetches();
  }

  /** Returns its id. */
  public String id() {
    return id;
  }

  /** Returns the engine's counters. */
  public EngineStats stats() {
    return state.stats();
  }

  /**
   * Sets length and timing of answers.
   *
   * @param chunks content chunks of an answer that has no limit in its request
   * @param chunkDelayMillis time before each chunk
   * @param missDelayMillis time before the first chunk of a chat that is not in the prefix cache
   */
  public void pace(int chunks, long chunkDelayMillis, long missDelayMillis) {
    state.pace(new EngineState.Pace(chunks, chunkDelayMillis, missDelayMillis));
  }

  /** Closes every connection with a request and restarts with an empty prefix cache. */
  public void crash() {
    state.crash();
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofSeconds(1));
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .post("/v1/chat/completions", this::chat)
        .post("/v1/orders", this::order)
        .get("/control/stats", (in, out) -> LoopbackServer.json(out, state.stats()))
        .post("/control/pace", (in, out) -> control(out, () -> state.pace(paceOf(in))))
        .post("/control/crash", (in, out) -> control(out, () -> crashNowOrLater(in)))
        .post("/control/stall", (in, out) -> control(out, () -> stall(in)))
        .post("/control/cold", (in, out) -> control(out, () -> turnCold(in)))
        .post("/control/refuse", (in, out) -> control(out, () -> refuse(in)));
  }

  private Publisher<Void> chat(HttpServerRequest in, HttpServerResponse out) {
    state.keys.inspect(in);
    if (state.isRefusing()) {
      return out.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
    }
    return LoopbackServer.body(in)
        .flatMap(
            body ->
                state.weights.serves(Json.parse(body).path("model").asText())
                    ? new ChatRun(state, in, out).answer(body)
                    : Mono.from(out.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send()));
  }

  private Publisher<Void> order(HttpServerRequest in, HttpServerResponse out) {
    long number = Long.parseLong(in.requestHeaders().get("Fencing-Number"));
    return LoopbackServer.body(in)
        .map(body -> state.weights.execute(number, Json.parse(body)))
        .flatMap(executed -> Mono.from(answerOrder(out, executed)));
  }

  private Publisher<Void> answerOrder(HttpServerResponse out, boolean executed) {
    if (executed) {
      return out.send();
    }
    ObjectNode answer = Json.object().put("newestNumber", state.weights.number());
    return LoopbackServer.json(out.status(HttpResponseStatus.CONFLICT), answer);
  }

  private static Mono<Void> control(HttpServerResponse out, Runnable action) {
    return Mono.fromRunnable(action).then(out.send());
  }

  private EngineState.Pace paceOf(HttpServerRequest in) {
    EngineState.Pace current = state.pace();
    return new EngineState.Pace(
        (int) LoopbackServer.number(in, "chunks", current.chunks()),
        LoopbackServer.number(in, "chunkDelayMillis", current.chunkDelayMillis()),
        LoopbackServer.number(in, "missDelayMillis", current.missDelayMillis()));
  }

  private void crashNowOrLater(HttpServerRequest in) {
    int after = (int) LoopbackServer.number(in, "afterChunks", -1);
    if (after < 0) {
      state.crash();
    } else {
      state.crashNext(after);
    }
  }

  private void stall(HttpServerRequest in) {
    state.stallNext((int) LoopbackServer.number(in, "afterChunks", 0));
  }

  private void turnCold(HttpServerRequest in) {
    state.turnCold(
        (int) LoopbackServer.number(in, "limit", 4),
        (int) LoopbackServer.number(in, "requests", 20));
  }

  private void refuse(HttpServerRequest in) {
    state.setRefusing(Boolean.parseBoolean(LoopbackServer.text(in, "on", "true")));
  }
}
