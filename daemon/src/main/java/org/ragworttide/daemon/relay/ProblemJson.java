package org.ragworttide.daemon.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import org.ragworttide.daemon.decision.RequestId;

/** Serialises refusals as problem JSON; stateless, safe for use by any thread. */
public final class ProblemJson {
  /** The media type of RFC 9457. */
  public static final String CONTENT_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:ragworttide:problem:";
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ProblemJson() {}

  /** Returns the response body of a refusal. */
  public static byte[] body(Problem problem, RequestId request) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("type", TYPE_PREFIX + problem.code().code());
    node.put("title", problem.code().title());
    node.put("status", problem.code().status());
    node.put("detail", problem.detail());
    node.put("code", problem.code().code());
    node.put("outcome", problem.outcome().code());
    node.put("requestId", request.value());
    if (problem.retryAfterMillis() > 0) {
      node.put("retryAfterMillis", problem.retryAfterMillis());
    }
    return bytes(node);
  }

  /** Returns the event that ends a stream which can't be continued. */
  public static byte[] event(Problem problem, RequestId request) {
    String json = new String(body(problem, request), StandardCharsets.UTF_8);
    return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] bytes(ObjectNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
