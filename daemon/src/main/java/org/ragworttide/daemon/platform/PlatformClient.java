package org.ragworttide.daemon.platform;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import org.ragworttide.daemon.upstream.ResponseGuard;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Reads and watches the documents that the platform publishes.
 *
 * <p>Invariants: the client only reads; every failure is a {@link PlatformReply.Unavailable}, never
 * an error signal; of an answer, no more than the largest document is kept. Safe for use by any
 * thread.
 */
public final class PlatformClient {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(3);
  private static final int MAX_DOCUMENT_BYTES = 1_048_576;

  private final HttpClient http;

  /**
   * Creates a client of the service.
   *
   * @param address host and port of the service
   */
  public PlatformClient(String address) {
    this.http =
        ResponseGuard.guard(HttpClient.create()).baseUrl("http://" + address).disableRetry(true);
  }

  /** Reads the newest version of a document that the platform serves to this daemon. */
  public Mono<PlatformReply> read(String name) {
    return call("/v1/read/" + name, READ_TIMEOUT);
  }

  /** Waits for a version newer than the given one, for at most the given time. */
  public Mono<PlatformReply> watch(String name, long after, Duration wait) {
    String uri = "/v1/watch/%s?after=%d&timeoutMillis=%d".formatted(name, after, wait.toMillis());
    return call(uri, wait.plus(READ_TIMEOUT));
  }

  private Mono<PlatformReply> call(String uri, Duration timeout) {
    return http.get()
        .uri(uri)
        .response(
            (response, body) ->
                body.asByteArray()
                    .collect(ByteArrayOutputStream::new, PlatformClient::append)
                    .map(bytes -> interpret(response, bytes.toByteArray())))
        .next()
        .timeout(timeout)
        .onErrorResume(e -> Mono.just(new PlatformReply.Unavailable(String.valueOf(e))));
  }

  /** Adds a part of an answer; an error ends the call and closes its connection. */
  private static void append(ByteArrayOutputStream body, byte[] part) {
    if (body.size() + part.length > MAX_DOCUMENT_BYTES) {
      throw new IllegalStateException("document exceeds " + MAX_DOCUMENT_BYTES + " bytes");
    }
    body.writeBytes(part);
  }

  private static PlatformReply interpret(HttpClientResponse response, byte[] body) {
    if (response.status().equals(HttpResponseStatus.NO_CONTENT)) {
      return new PlatformReply.Unchanged();
    }
    if (!response.status().equals(HttpResponseStatus.OK)) {
      return new PlatformReply.Unavailable("status " + response.status().code());
    }
    try {
      long version = Long.parseLong(response.responseHeaders().get("Version", ""));
      return new PlatformReply.Published(version, body);
    } catch (NumberFormatException e) {
      return new PlatformReply.Unavailable("no version in the answer");
    }
  }
}
