package org.ragworttide.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Queries and controls a daemon through its operators' listener; stateless. */
final class OperatorsClient {
  private static final JsonMapper MAPPER = new JsonMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int FIRST_ERROR_STATUS = 400;

  private OperatorsClient() {}

  static Report status(Command.Status command) {
    return call(HttpMethod.GET, command.operators(), "/status");
  }

  static Report audit(Command.Audit command) {
    return call(HttpMethod.GET, command.operators(), "/audit?last=" + command.last());
  }

  static Report drain(Command.Drain command) {
    return call(HttpMethod.POST, command.operators(), "/drain");
  }

  private record Answer(int status, byte[] body) {}

  private static Report call(HttpMethod method, URI operators, String path) {
    String url = operators.toString().replaceAll("/+$", "") + path;
    try {
      return report(url, send(method, url));
    } catch (RuntimeException e) {
      return unreachable(url + ": " + reason(e));
    }
  }

  private static Answer send(HttpMethod method, String url) {
    return HttpClient.create()
        .responseTimeout(TIMEOUT)
        .request(method)
        .uri(url)
        .responseSingle(
            (response, body) ->
                body.asByteArray()
                    .switchIfEmpty(Mono.just(new byte[0]))
                    .map(bytes -> new Answer(response.status().code(), bytes)))
        .block(TIMEOUT.multipliedBy(2));
  }

  private static Report report(String url, Answer answer) {
    String text = new String(answer.body(), StandardCharsets.UTF_8);
    if (answer.status() >= FIRST_ERROR_STATUS) {
      return unreachable(url + ": status " + answer.status() + " " + text);
    }
    JsonNode json = parse(text);
    return new Report(ExitCode.OK, Outline.of(json), json);
  }

  private static JsonNode parse(String text) {
    try {
      JsonNode json = MAPPER.readTree(text);
      return json.isMissingNode() ? MAPPER.createObjectNode() : json;
    } catch (IOException e) {
      return MAPPER.createObjectNode().put("text", text.strip());
    }
  }

  private static Report unreachable(String message) {
    ObjectNode json = MAPPER.createObjectNode().put("error", message);
    return new Report(ExitCode.UNREACHABLE, message + "\n", json);
  }

  private static String reason(RuntimeException e) {
    Throwable cause = e.getCause() == null ? e : e.getCause();
    return cause.getMessage() == null ? cause.toString() : cause.getMessage();
  }
}
