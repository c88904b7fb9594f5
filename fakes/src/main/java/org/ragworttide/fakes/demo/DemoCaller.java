package org.ragworttide.fakes.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * HTTP client that calls the daemons as a caller would.
 *
 * <p>Invariant: a request is sent again only after a refusal that says it was not run. Safe for use
 * by any thread.
 */
final class DemoCaller {
  private static final JsonMapper MAPPER = new JsonMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_ATTEMPTS = 40;
  private static final long RETRY_MILLIS = 250;
  private static final long START_MILLIS = 500;

  /**
   * Complete answer.
   *
   * @param status the HTTP status
   * @param headers the answer's headers
   * @param body the answer's text
   */
  record Answer(int status, HttpHeaders headers, String body) {

    JsonNode json() {
      try {
        return MAPPER.readTree(body);
      } catch (IOException e) {
        return MAPPER.missingNode();
      }
    }

    boolean isNotRun() {
      return json().path("outcome").asText().equals("not-run");
    }

    String problem() {
      return status + " " + json().path("code").asText() + " " + json().path("outcome").asText();
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final AtomicInteger bookingsSent = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();

  int bookingsSent() {
    return bookingsSent.get();
  }

  /** Returns the number of requests that a daemon refused as not run and the caller sent again. */
  int refusals() {
    return refusals.get();
  }

  Answer get(String url) {
    return await(send(request(url).GET().build()));
  }

  /** Sends one chat, streamed, without sending it again. */
  CompletableFuture<StreamAnswer> chat(String url, String key, DemoChat chat) {
    HttpRequest request =
        request(url + "/v1/chat/completions?api_key=" + key)
            .header("Authorization", "Bearer " + key)
            .header("Chat-Id", chat.id())
            .header("Content-Type", "application/json")
            .header("Cookie", "session=" + key)
            .POST(BodyPublishers.ofString(chat.body()))
            .build();
    return client
        .sendAsync(request, BodyHandlers.ofLines())
        .thenApplyAsync(DemoCaller::read)
        .exceptionally(e -> StreamAnswer.none(e.toString()));
  }

  /** Sends one chat, again while a daemon refuses it as not run. */
  StreamAnswer chatUntilRun(String url, String key, DemoChat chat) {
    StreamAnswer answer = chat(url, key, chat).join();
    for (int i = 1; i < MAX_ATTEMPTS && answer.isNotRun(); i++) {
      refusals.incrementAndGet();
      pause(RETRY_MILLIS);
      answer = chat(url, key, chat).join();
    }
    return answer;
  }

  /** Starts a long chat, again while a daemon refuses it as not run; returns once it runs. */
  CompletableFuture<StreamAnswer> startChat(String url, String key, DemoChat chat) {
    CompletableFuture<StreamAnswer> answer = chat(url, key, chat);
    pause(START_MILLIS);
    for (int i = 1; i < MAX_ATTEMPTS && answer.isDone() && answer.join().isNotRun(); i++) {
      refusals.incrementAndGet();
      answer = chat(url, key, chat);
      pause(START_MILLIS);
    }
    return answer;
  }

  /** Sends one booking once. */
  CompletableFuture<Answer> book(String url, String key, String idempotencyKey) {
    bookingsSent.incrementAndGet();
    return send(
        request(url + "/bookings?api_key=" + key)
            .header("Authorization", "Bearer " + key)
            .header("Idempotency-Key", idempotencyKey)
            .header("Content-Type", "application/json")
            .POST(BodyPublishers.ofString("{\"van\":1}"))
            .build());
  }

  /** Sends one booking, again while a daemon refuses it as not run. */
  CompletableFuture<Answer> bookUntilRun(String url, String key, String idempotencyKey) {
    return CompletableFuture.supplyAsync(
        () -> {
          Answer answer = await(book(url, key, idempotencyKey));
          for (int i = 1; i < MAX_ATTEMPTS && answer.isNotRun(); i++) {
            refusals.incrementAndGet();
            pause(RETRY_MILLIS);
            answer = await(book(url, key, idempotencyKey));
          }
          return answer;
        });
  }

  static Answer await(CompletableFuture<Answer> answer) {
    return answer.exceptionally(e -> new Answer(0, noHeaders(), e.toString())).join();
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private CompletableFuture<Answer> send(HttpRequest request) {
    return client
        .sendAsync(request, BodyHandlers.ofString())
        .thenApply(answer -> new Answer(answer.statusCode(), answer.headers(), answer.body()));
  }

  private static HttpRequest.Builder request(String url) {
    return HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT);
  }

  private static HttpHeaders noHeaders() {
    return HttpHeaders.of(Map.of(), (name, value) -> true);
  }

  private static StreamAnswer read(HttpResponse<Stream<String>> response) {
    try (Stream<String> lines = response.body()) {
      return StreamAnswer.read(response.statusCode(), response.headers(), lines);
    }
  }
}
