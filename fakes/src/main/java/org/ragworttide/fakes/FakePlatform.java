package org.ragworttide.fakes;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.ragworttide.coordination.membership.VmEntry;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Fake platform: publishes documents that daemons can read and watch.
 *
 * <p>The paths under {@code /control} control the fake and are not part of the platform's
 * interface. Invariant: every read and every watch counts as one call. Safe for use by any thread.
 */
public final class FakePlatform implements AutoCloseable {
  private static final long DEFAULT_WATCH_MILLIS = 30_000;

  private final Map<String, Published> documents =
      Map.of(
          "configuration", new Published(),
          "vms", new Published(),
          "loads", new Published(),
          "cache-events", new Published());
  private final AtomicLong calls = new AtomicLong();
  private final Sinks.Many<Boolean> outages = Sinks.many().multicast().directBestEffort();
  private volatile boolean down;
  private List<VmEntry> vms = List.of();
  private final DisposableServer server;

  private FakePlatform(int port) {
    server = LoopbackServer.start(port, this::routes);
  }

  /** Starts the fake platform; port 0 stands for any free port. */
  public static FakePlatform start(int port) {
    return new FakePlatform(port);
  }

  /** Returns the port it listens on. */
  public int port() {
    return server.port();
  }

  /** Returns the number of reads and watches that arrived. */
  public long calls() {
    return calls.get();
  }

  /** Publishes a document under the next version and returns the version. */
  public long publish(String name, byte[] body) {
    return documents.get(name).publishNext(body);
  }

  /** Publishes a document under the given version, which must exceed the last. */
  public long publish(String name, long version, byte[] body) {
    return documents.get(name).publish(version, body);
  }

  /** Publishes the next VM list, which carries the entries of the previous list. */
  public synchronized long publishVms(List<VmEntry> entries) {
    Published published = documents.get("vms");
    long version = published.nextVersion();
    published.publish(version, Json.bytes(new VmsBody(version, texts(entries), texts(vms))));
    vms = List.copyOf(entries);
    return version;
  }

  /** Publishes the engines' next load reports. */
  public synchronized long publishLoads(List<LoadReport> reports) {
    Published published = documents.get("loads");
    long version = published.nextVersion();
    return published.publish(version, Json.bytes(new LoadsBody(version, reports)));
  }

  /** Sets whether the platform answers every read and watch with 503. */
  public void setDown(boolean on) {
    down = on;
    outages.tryEmitNext(on);
  }

  /** Serves an older version of a document from now on; 0 serves the newest again. */
  public void serveStale(String name, long version) {
    documents.get(name).serveStale(version);
  }

  @Override
  public void close() {
    server.disposeNow(Duration.ofSeconds(1));
  }

  private record VmText(String id, String zone, String state, String address) {}

  private record VmsBody(long version, List<VmText> vms, List<VmText> previous) {}

  private record LoadsBody(long version, List<LoadReport> reports) {}

  private record Stats(long calls) {}

  private static List<VmText> texts(List<VmEntry> entries) {
    List<VmText> texts = new ArrayList<>();
    for (VmEntry vm : entries) {
      texts.add(new VmText(vm.id().value(), vm.zone().value(), vm.state().name(), vm.address()));
    }
    return texts;
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .get("/v1/read/{name}", this::read)
        .get("/v1/watch/{name}", this::watch)
        .get("/control/stats", (in, out) -> LoopbackServer.json(out, new Stats(calls.get())))
        .post("/control/stale", this::controlStale)
        .post("/control/down", this::controlDown)
        .post("/control/{name}", this::controlPublish);
  }

  private Publisher<Void> read(HttpServerRequest in, HttpServerResponse out) {
    calls.incrementAndGet();
    Published published = documents.get(in.param("name"));
    if (down) {
      return out.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
    }
    Published.Version current = published == null ? null : published.current();
    return current == null ? out.sendNotFound() : send(out, current);
  }

  private Publisher<Void> watch(HttpServerRequest in, HttpServerResponse out) {
    calls.incrementAndGet();
    Published published = documents.get(in.param("name"));
    if (published == null) {
      return out.sendNotFound();
    }
    if (down) {
      return out.status(HttpResponseStatus.SERVICE_UNAVAILABLE).send();
    }
    long after = LoopbackServer.number(in, "after", 0);
    long millis = LoopbackServer.number(in, "timeoutMillis", DEFAULT_WATCH_MILLIS);
    return newer(published, after)
        .takeUntilOther(outages.asFlux().filter(on -> on))
        .timeout(Duration.ofMillis(millis), Mono.empty())
        .map(Optional::of)
        .defaultIfEmpty(Optional.empty())
        .flatMap(version -> Mono.from(version.isPresent() ? send(out, version.get()) : none(out)));
  }

  private Publisher<Void> none(HttpServerResponse out) {
    return out.status(down ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.NO_CONTENT)
        .send();
  }

  private static Mono<Published.Version> newer(Published published, long after) {
    return published
        .changes()
        .<Published.Version>handle(
            (change, sink) -> {
              Published.Version current = published.current();
              if (current != null && current.version() > after) {
                sink.next(current);
              }
            })
        .next();
  }

  private static Publisher<Void> send(HttpServerResponse out, Published.Version version) {
    return out.header("Content-Type", "application/json")
        .header("Version", Long.toString(version.version()))
        .sendByteArray(Mono.just(version.body()));
  }

  private Publisher<Void> controlPublish(HttpServerRequest in, HttpServerResponse out) {
    Published published = documents.get(in.param("name"));
    if (published == null) {
      return out.sendNotFound();
    }
    String version = in.requestHeaders().get("Version");
    return LoopbackServer.body(in)
        .flatMap(
            body -> {
              long next = version == null ? published.nextVersion() : Long.parseLong(version);
              published.publish(next, body);
              return Mono.from(out.header("Version", Long.toString(next)).send());
            })
        .onErrorResume(
            IllegalArgumentException.class, e -> out.status(HttpResponseStatus.CONFLICT).send());
  }

  private Publisher<Void> controlStale(HttpServerRequest in, HttpServerResponse out) {
    Published published = documents.get(LoopbackServer.text(in, "name", ""));
    if (published == null) {
      return out.sendNotFound();
    }
    published.serveStale(LoopbackServer.number(in, "version", 0));
    return out.send();
  }

  private Publisher<Void> controlDown(HttpServerRequest in, HttpServerResponse out) {
    setDown(Boolean.parseBoolean(LoopbackServer.text(in, "on", "true")));
    return out.send();
  }
}
