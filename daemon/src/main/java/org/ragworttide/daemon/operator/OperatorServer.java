package org.ragworttide.daemon.operator;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import org.ragworttide.daemon.audit.AuditTrail;
import org.ragworttide.daemon.metrics.MetricsText;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves operators: liveness, readiness, status, metrics, audit trail and drain.
 *
 * <p>Invariant: apart from drain, no request changes any state. Safe for use by any thread.
 */
public final class OperatorServer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DEFAULT_AUDIT_ENTRIES = 50;

  private final OperatorActions actions;
  private final MetricRegistry metrics;
  private final AuditTrail audit;

  /** Creates a server that listens after a call of {@link #bind}. */
  public OperatorServer(OperatorActions actions, MetricRegistry metrics, AuditTrail audit) {
    this.actions = actions;
    this.metrics = metrics;
    this.audit = audit;
  }

  /** Starts listening. */
  public Mono<? extends DisposableServer> bind(String host, int port) {
    return HttpServer.create().host(host).port(port).route(this::routes).bind();
  }

  private void routes(HttpServerRoutes routes) {
    routes
        .get("/live", (request, response) -> text(response, "live\n"))
        .get("/ready", (request, response) -> ready(response))
        .get("/status", (request, response) -> json(response, actions.status()))
        .get("/metrics", (request, response) -> text(response, MetricsText.of(metrics)))
        .get("/audit", this::audit)
        .post("/drain", (request, response) -> drain(response));
  }

  private Mono<Void> ready(HttpServerResponse response) {
    if (actions.isReady()) {
      return text(response, "ready\n");
    }
    return text(response.status(HttpResponseStatus.SERVICE_UNAVAILABLE), "not ready\n");
  }

  private Mono<Void> audit(HttpServerRequest request, HttpServerResponse response) {
    List<String> last =
        new QueryStringDecoder(request.uri()).parameters().getOrDefault("last", List.of());
    try {
      int count = last.isEmpty() ? DEFAULT_AUDIT_ENTRIES : Integer.parseInt(last.getFirst());
      if (count > 0) {
        return json(response, audit.last(count));
      }
    } catch (NumberFormatException e) {
      // The response below handles every invalid count.
    }
    return text(
        response.status(HttpResponseStatus.BAD_REQUEST), "last must be a positive number\n");
  }

  private Mono<Void> drain(HttpServerResponse response) {
    actions.drain("operator");
    return text(response.status(HttpResponseStatus.ACCEPTED), "draining\n");
  }

  private static Mono<Void> text(HttpServerResponse response, String body) {
    return response
        .header("Content-Type", "text/plain; charset=utf-8")
        .sendString(Mono.just(body))
        .then();
  }

  private static Mono<Void> json(HttpServerResponse response, Object body) {
    try {
      return response
          .header("Content-Type", "application/json")
          .sendString(Mono.just(JSON.writeValueAsString(body)))
          .then();
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("status cannot be written", e);
    }
  }
}
