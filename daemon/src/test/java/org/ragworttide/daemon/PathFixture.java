package org.ragworttide.daemon;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.daemon.decision.LocalClaims;
import org.ragworttide.daemon.decision.LocalPlacement;
import org.ragworttide.daemon.decision.LocalRateLimits;
import org.ragworttide.daemon.relay.RelayPorts;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Fleet;
import org.ragworttide.document.ConfigurationDocument.Key;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Route;
import org.ragworttide.document.ConfigurationDocument.RouteKind;
import org.ragworttide.document.ConfigurationDocument.Service;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import org.ragworttide.document.ConfigurationDocument.UpstreamKind;
import org.ragworttide.document.ConfigurationDocument.Zone;

/** Test fixture that runs the HTTP path with scripted upstreams and an HTTP client. */
final class PathFixture implements AutoCloseable {
  static final UpstreamId ENGINE = new UpstreamId("engine-0");
  static final String KEY = "hotel-key";
  static final String CHAT = "/v1/chat/completions";
  static final String STREAMED_CHAT = "{\"model\":\"m\",\"messages\":[],\"stream\":true}";
  static final String WHOLE_CHAT = "{\"model\":\"m\",\"messages\":[]}";

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  final AtomicReference<ConfigurationDocument> configuration = new AtomicReference<>();
  final LocalPlacement placement = new LocalPlacement(configuration::get);
  final MetricRegistry metrics = new MetricRegistry();
  final DaemonHttp http;
  private final List<ScriptedUpstream> upstreams;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private PathFixture(
      DaemonHttp.Settings settings, RetryBudget retries, List<ScriptedUpstream> upstreams) {
    this.upstreams = upstreams;
    configuration.set(document(1, upstreams, false));
    RelayPorts ports =
        new RelayPorts(
            new LocalRateLimits(configuration::get), new LocalClaims(), placement, retries);
    http = DaemonHttp.start(settings, configuration::get, ports, metrics).block(TIMEOUT);
  }

  /** Starts the path with one upstream per script. */
  static PathFixture start(ScriptedUpstream.Script... scripts) {
    return start(defaults(), scripts);
  }

  static PathFixture start(DaemonHttp.Settings settings, ScriptedUpstream.Script... scripts) {
    return start(settings, new RetryBudget(0.1, 100), scripts);
  }

  private static PathFixture start(
      DaemonHttp.Settings settings, RetryBudget retries, ScriptedUpstream.Script... scripts) {
    List<ScriptedUpstream> upstreams = new ArrayList<>();
    for (ScriptedUpstream.Script script : scripts) {
      upstreams.add(new ScriptedUpstream(script));
    }
    return new PathFixture(settings, retries, upstreams);
  }

  static PathFixture startWithoutRetries(ScriptedUpstream.Script... scripts) {
    return start(defaults(), new RetryBudget(0, 0), scripts);
  }

  static DaemonHttp.Settings defaults() {
    return DaemonHttp.Settings.defaults("127.0.0.1", 0);
  }

  static ConfigurationDocument document(
      long version, List<ScriptedUpstream> upstreams, boolean withdrawn) {
    List<Upstream> entries = new ArrayList<>();
    List<String> services = new ArrayList<>();
    for (int i = 0; i < upstreams.size(); i++) {
      String address = upstreams.get(i).address();
      List<String> models = List.of("m");
      entries.add(entry("engine-" + i, UpstreamKind.ENGINE, address, models));
      entries.add(entry("service-" + i, UpstreamKind.SERVICE, address, List.of()));
      services.add("service-" + i);
    }
    return new ConfigurationDocument(
        version,
        new Fleet("test", 4, 1.5, 600),
        List.of(new Zone("z", Service.IN)),
        List.of(new Organisation("hotel", 1000, 1000), new Organisation("slow", 0.001, 1)),
        List.of(
            new Key("hotel", sha256(KEY), withdrawn),
            new Key("slow", sha256("slow-key"), false),
            new Key("hotel", sha256("old-key"), true)),
        entries,
        List.of(
            new Route("chat", CHAT, RouteKind.CHAT, false, true, 10_000, List.of()),
            new Route("book", "/bookings", RouteKind.SERVICE, false, false, 10_000, services),
            new Route("stock", "/stock", RouteKind.SERVICE, false, true, 10_000, services),
            new Route("hours", "/hours", RouteKind.SERVICE, true, true, 10_000, services)));
  }

  private static Upstream entry(String id, UpstreamKind kind, String address, List<String> models) {
    return new Upstream(id, kind, "z", address, models, Service.IN, 4);
  }

  private static String sha256(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Puts a configuration in force in which {@link #KEY} is withdrawn. */
  void withdrawKey() {
    ConfigurationDocument old = configuration.get();
    configuration.set(document(2, upstreams, true));
    http.onConfiguration(old, configuration.get());
  }

  /** Puts a configuration in force in which all upstreams listen at the address. */
  void replaceUpstreams(String address) {
    ConfigurationDocument old = configuration.get();
    List<Upstream> moved =
        old.upstreams().stream()
            .map(upstream -> entry(upstream.id(), upstream.kind(), address, upstream.models()))
            .toList();
    configuration.set(
        new ConfigurationDocument(
            2, old.fleet(), old.zones(), old.organisations(), old.keys(), moved, old.routes()));
  }

  ScriptedUpstream upstream(int index) {
    return upstreams.get(index);
  }

  List<ScriptedUpstream> upstreams() {
    return upstreams;
  }

  /** Returns the requests that arrived at all upstreams. */
  List<ScriptedUpstream.Received> arrivals() {
    return upstreams.stream().flatMap(upstream -> upstream.received().stream()).toList();
  }

  HttpRequest.Builder request(String path) {
    URI uri = URI.create("http://127.0.0.1:" + http.callerAddress().getPort() + path);
    return HttpRequest.newBuilder(uri).timeout(TIMEOUT).header("Authorization", "Bearer " + KEY);
  }

  HttpRequest.Builder post(String path, String body) {
    return request(path)
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body));
  }

  HttpResponse<String> send(HttpRequest.Builder request) {
    return sendAsync(request).join();
  }

  CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() throws IOException {
    client.shutdownNow();
    http.close().block(TIMEOUT);
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
  }
}
