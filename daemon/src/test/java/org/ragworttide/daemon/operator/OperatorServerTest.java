package org.ragworttide.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.daemon.audit.AuditAction;
import org.ragworttide.daemon.audit.AuditTrail;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import reactor.netty.DisposableServer;

/** Tests valid and invalid requests of operators. */
public final class OperatorServerTest implements OperatorActions {
  private final AtomicReference<String> drainedBy = new AtomicReference<>();
  private final AuditTrail audit = new AuditTrail(Clock.systemUTC());
  private final MetricRegistry metrics = new MetricRegistry();
  private final HttpClient client = HttpClient.newHttpClient();
  private volatile boolean ready = true;
  private DisposableServer server;

  /** Starts a listener with an audit trail of two entries. */
  @BeforeClass
  public void start() {
    audit.record(AuditAction.ZONE_CHANGED, "configuration 2", "chania", "IN", "OUT");
    audit.record(AuditAction.KEY_WITHDRAWN, "configuration 3", "hotel", "0a1b", "");
    metrics.counter("some").inc();
    server = new OperatorServer(this, metrics, audit).bind("127.0.0.1", 0).block();
  }

  /** Stops the listener. */
  @AfterClass
  public void stop() {
    client.shutdownNow();
    server.disposeNow(Duration.ofSeconds(5));
  }

  @Override
  public boolean isReady() {
    return ready;
  }

  @Override
  public Map<String, Object> status() {
    return Map.of("vm", "vm-1");
  }

  @Override
  public void drain(String actor) {
    drainedBy.set(actor);
  }

  @Test
  public void readinessReflectsTheDaemonAndLivenessDoesNotChange() throws Exception {
    assertEquals(send("GET", "/ready").statusCode(), 200);
    ready = false;
    assertEquals(send("GET", "/ready").statusCode(), 503);
    assertEquals(send("GET", "/live").statusCode(), 200);
    ready = true;
  }

  @Test
  public void statusMetricsAndAuditAreServed() throws Exception {
    assertEquals(send("GET", "/status").body(), "{\"vm\":\"vm-1\"}");
    assertTrue(send("GET", "/metrics").body().contains("ragworttide_some_total 1"));
    String last = send("GET", "/audit?last=1").body();
    assertTrue(last.contains("KEY_WITHDRAWN") && !last.contains("ZONE_CHANGED"), last);
    assertTrue(send("GET", "/audit").body().contains("ZONE_CHANGED"));
  }

  @Test
  public void invalidRequestsAreRefused() throws Exception {
    for (String count : new String[] {"0", "-1", "x", "99999999999", ""}) {
      assertEquals(send("GET", "/audit?last=" + count).statusCode(), 400, count);
    }
    assertEquals(send("GET", "/nothing").statusCode(), 404);
    assertEquals(send("GET", "/drain").statusCode(), 404);
  }

  @Test
  public void postStartsTheDrain() throws Exception {
    assertEquals(send("POST", "/drain").statusCode(), 202);
    assertEquals(drainedBy.get(), "operator");
  }

  private HttpResponse<String> send(String method, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + server.port() + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri).method(method, HttpRequest.BodyPublishers.noBody()).build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }
}
