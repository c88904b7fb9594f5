package org.ragworttide.bench.path;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ragworttide.fakes.ChatAnswer;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Streamed chat request whose latencies are measured at the caller.
 *
 * <p>Confined to the thread of one connection until the call ends.
 */
final class ChatCall {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");
  private static final String BODY =
      "{\"model\":\"repair-8b\",\"stream\":true,\"max_tokens\":%d,"
          + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}";

  private final String id;
  private final byte[] body;
  private final int chunks;
  private final Timings timings;
  private final StringBuilder answer = new StringBuilder();
  private int status;
  private long sentNanos;
  private long lastNanos;

  ChatCall(String id, int chunks, Timings timings) {
    this.id = id;
    this.chunks = chunks;
    this.timings = timings;
    this.body = BODY.formatted(chunks, "door " + id).getBytes(StandardCharsets.UTF_8);
  }

  /** Sends the chat once and records its latencies. */
  Mono<Void> run(HttpClient client) {
    return Mono.defer(() -> send(client))
        .timeout(TIMEOUT)
        .onErrorResume(error -> Mono.fromRunnable(() -> answer.append(error)))
        .then(Mono.fromRunnable(() -> timings.recordEnd(isComplete(), this::summary)));
  }

  private Mono<Void> send(HttpClient client) {
    sentNanos = System.nanoTime();
    return client
        .headers(
            headers ->
                headers
                    .set("Authorization", "Bearer " + BenchFleet.KEY)
                    .set("Chat-Id", id)
                    .set("Content-Type", "application/json"))
        .post()
        .uri("/v1/chat/completions")
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
        .response(
            (response, content) -> {
              status = response.status().code();
              return content.doOnNext(this::recordPart);
            })
        .then();
  }

  private void recordPart(ByteBuf part) {
    long now = System.nanoTime();
    if (lastNanos == 0) {
      timings.recordFirstByte(now - sentNanos);
    } else {
      timings.recordGap(now - lastNanos);
    }
    lastNanos = now;
    answer.append(part.toString(StandardCharsets.UTF_8));
  }

  private boolean isComplete() {
    StringBuilder text = new StringBuilder();
    Matcher contents = CONTENT.matcher(answer);
    while (contents.find()) {
      text.append(contents.group(1));
    }
    return status == 200
        && answer.toString().endsWith("data: [DONE]\n\n")
        && text.toString().equals(ChatAnswer.to(body, chunks).text());
  }

  private String summary() {
    int from = Math.max(0, answer.length() - 200);
    return status + " after " + answer.length() + " characters: " + answer.substring(from);
  }
}
