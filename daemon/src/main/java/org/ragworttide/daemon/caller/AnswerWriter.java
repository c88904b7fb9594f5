package org.ragworttide.daemon.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.relay.AnswerPart;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemJson;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Signal;
import reactor.netty.http.server.HttpServerResponse;

/** Writes answers to callers; stateless, safe for use by any thread. */
final class AnswerWriter {
  static final String REQUEST_ID = "Request-Id";

  private static final long MILLIS_PER_SECOND = 1_000;

  private AnswerWriter() {}

  /**
   * Writes the parts of an answer as they arrive, and requests more only as fast as the caller
   * reads them.
   */
  static Mono<Void> write(Flux<AnswerPart> parts, HttpServerResponse response, RequestId request) {
    return parts
        .switchOnFirst((first, all) -> Flux.from(writeParts(first, all, response, request)))
        .then();
  }

  private static Mono<Void> writeParts(
      Signal<? extends AnswerPart> first,
      Flux<AnswerPart> all,
      HttpServerResponse response,
      RequestId request) {
    response.header(REQUEST_ID, request.value());
    return switch (first.get()) {
      case AnswerPart.Whole whole -> all.then(whole(whole, response));
      case AnswerPart.Refusal refusal -> all.then(refusal(refusal.problem(), response, request));
      case AnswerPart.StreamHead head -> stream(head, all.skip(1), response);
      case AnswerPart.StreamEvent event ->
          throw new IllegalStateException("stream event arrived before the head of the stream");
      case AnswerPart.StreamFailure failure ->
          throw new IllegalStateException("stream failure arrived before the head of the stream");
      case null -> all.then();
    };
  }

  /** Writes a refusal. */
  static Mono<Void> refusal(Problem problem, HttpServerResponse response, RequestId request) {
    response
        .status(problem.code().status())
        .header(HttpHeaderNames.CONTENT_TYPE, ProblemJson.CONTENT_TYPE);
    switch (problem.code()) {
      case KEY_UNKNOWN, KEY_WITHDRAWN ->
          response.header(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
      case METHOD_NOT_ALLOWED -> response.header(HttpHeaderNames.ALLOW, "POST");
      default -> {}
    }
    if (problem.retryAfterMillis() > 0) {
      long seconds = Math.ceilDiv(problem.retryAfterMillis(), MILLIS_PER_SECOND);
      response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
    }
    return body(ProblemJson.body(problem, request), response);
  }

  private static Mono<Void> whole(AnswerPart.Whole whole, HttpServerResponse response) {
    response.status(whole.status());
    addHeaders(whole.headers(), response);
    return body(whole.body(), response);
  }

  private static Mono<Void> body(byte[] body, HttpServerResponse response) {
    response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
    return response.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body))).then();
  }

  private static Mono<Void> stream(
      AnswerPart.StreamHead head, Flux<AnswerPart> events, HttpServerResponse response) {
    addHeaders(head.headers(), response);
    response.header(HttpHeaderNames.CACHE_CONTROL, "no-cache");
    return response.send(events.map(AnswerWriter::buffer), unused -> true).then();
  }

  private static ByteBuf buffer(AnswerPart part) {
    return switch (part) {
      case AnswerPart.StreamEvent event -> Unpooled.wrappedBuffer(event.bytes());
      case AnswerPart.StreamFailure failure -> Unpooled.wrappedBuffer(failure.bytes());
      case AnswerPart.Whole whole ->
          throw new IllegalStateException("complete answer arrived within a stream");
      case AnswerPart.Refusal refusal ->
          throw new IllegalStateException("refusal arrived within a stream");
      case AnswerPart.StreamHead head ->
          throw new IllegalStateException("stream has a second head");
    };
  }

  private static void addHeaders(HttpHeaders headers, HttpServerResponse response) {
    headers.forEach(header -> response.addHeader(header.getKey(), header.getValue()));
  }
}
