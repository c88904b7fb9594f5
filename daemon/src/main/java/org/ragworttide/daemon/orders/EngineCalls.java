package org.ragworttide.daemon.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.ragworttide.coordination.orders.Artifact;
import org.ragworttide.coordination.orders.EngineOrder;
import org.ragworttide.coordination.orders.OrderResult;
import org.ragworttide.daemon.upstream.SendGate;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamEvent;
import org.ragworttide.daemon.upstream.UpstreamRequest;
import reactor.core.publisher.Mono;

/**
 * Sends orders to engines over HTTP.
 *
 * <p>Invariant: every failure is a result, never an error signal; an order is sent at most once.
 * Safe for use by any thread.
 */
public final class EngineCalls {
  private static final String PATH = "/v1/orders";
  private static final String FENCING_NUMBER = "Fencing-Number";
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_ANSWER_BYTES = 65_536;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final UpstreamClient client;

  /** Creates an instance that sends over the given client. */
  public EngineCalls(UpstreamClient client) {
    this.client = client;
  }

  /**
   * Sends the order on subscription, if the gate permits it.
   *
   * @param address where the engine listens
   * @param order what to send
   * @param gate checked directly before the first byte is sent
   */
  public Mono<OrderResult> send(InetSocketAddress address, EngineOrder order, SendGate gate) {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("Content-Type", "application/json")
            .set(FENCING_NUMBER, order.fencingNumber());
    UpstreamRequest request =
        new UpstreamRequest(HttpMethod.POST, PATH, headers, body(order), false);
    return client
        .send(address, request, gate)
        .collect(Answer::new, Answer::add)
        .map(Answer::result)
        .timeout(TIMEOUT)
        .onErrorResume(e -> Mono.just(new OrderResult.Lost(e.getClass().getSimpleName())));
  }

  private static byte[] body(EngineOrder order) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("engine", order.engine().value());
    body.put("role", order.wanted().role());
    list(body.putArray("models"), Artifact.Kind.MODEL, order.wanted().artifacts());
    list(body.putArray("adapters"), Artifact.Kind.ADAPTER, order.wanted().artifacts());
    ArrayNode models = MAPPER.createArrayNode();
    ArrayNode adapters = MAPPER.createArrayNode();
    List<Artifact> fetch = order.fetch().stream().toList();
    list(models, Artifact.Kind.MODEL, fetch);
    list(adapters, Artifact.Kind.ADAPTER, fetch);
    ObjectNode fetched = body.putObject("fetch");
    fetched.set("models", models);
    fetched.set("adapters", adapters);
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void list(ArrayNode list, Artifact.Kind kind, List<Artifact> artifacts) {
    artifacts.stream()
        .filter(artifact -> artifact.kind() == kind)
        .forEach(
            artifact ->
                list.addObject().put("id", artifact.id()).put("version", artifact.version()));
  }

  /** The part of an answer received so far; used by one exchange. */
  private static final class Answer {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private OrderResult failure;

    void add(UpstreamEvent event) {
      switch (event) {
        case UpstreamEvent.Head head -> status = head.status();
        case UpstreamEvent.Chunk chunk -> {
          if (body.size() + chunk.bytes().length <= MAX_ANSWER_BYTES) {
            body.writeBytes(chunk.bytes());
          }
        }
        case UpstreamEvent.NotSent unsent -> failure = new OrderResult.NotSent(unsent.reason());
        case UpstreamEvent.Lost lost -> failure = new OrderResult.Lost(lost.reason());
        case UpstreamEvent.Stalled stalled -> failure = new OrderResult.Lost("stalled");
      }
    }

    OrderResult result() {
      if (failure != null) {
        return failure;
      }
      if (status == HttpResponseStatus.CONFLICT.code()) {
        return new OrderResult.Outdated(newestNumber());
      }
      boolean taken = status / 100 == 2;
      return taken ? new OrderResult.Accepted() : new OrderResult.Refused("status " + status);
    }

    private long newestNumber() {
      try {
        JsonNode answer = MAPPER.readTree(body.toByteArray());
        return Math.max(0, answer.path("newestNumber").asLong());
      } catch (IOException e) {
        return 0;
      }
    }
  }
}
