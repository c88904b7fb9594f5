package org.ragworttide.daemon.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemCode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Reads the body of a request within limits on its size and duration.
 *
 * <p>Invariant: the reader never holds more than the size limit plus one part of a body. Safe for
 * use by any thread.
 */
final class BodyReader {
  private final int maxBytes;
  private final Duration receiveTimeout;

  BodyReader(CallerSettings settings) {
    this.maxBytes = settings.maxBodyBytes();
    this.receiveTimeout = Duration.ofMillis(settings.receiveTimeoutMillis());
  }

  /** Result of reading a body. */
  sealed interface Result {

    /** The complete body was received. */
    record Body(byte[] bytes) implements Result {}

    /** The body is refused. */
    record Refused(Problem problem) implements Result {}
  }

  /** Collects the parts of a body. */
  Mono<Result> read(HttpHeaders headers, Flux<byte[]> parts) {
    if (contentLengthBytes(headers) > maxBytes) {
      return Mono.just(tooLarge());
    }
    return Mono.defer(() -> collect(parts))
        .timeout(receiveTimeout)
        .onErrorResume(TimeoutException.class, unused -> Mono.just(tooSlow()));
  }

  private Mono<Result> collect(Flux<byte[]> parts) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    return parts
        .doOnNext(body::writeBytes)
        .takeUntil(unused -> body.size() > maxBytes)
        .then(Mono.fromSupplier(() -> body.size() > maxBytes ? tooLarge() : whole(body)));
  }

  private static long contentLengthBytes(HttpHeaders headers) {
    String value = headers.get(HttpHeaderNames.CONTENT_LENGTH, "0");
    return value.chars().allMatch(Character::isDigit) && value.length() < 19
        ? Long.parseLong(value)
        : Long.MAX_VALUE;
  }

  private static Result whole(ByteArrayOutputStream body) {
    return new Result.Body(body.toByteArray());
  }

  private Result tooLarge() {
    String detail = "at most " + maxBytes + " bytes are taken";
    return new Result.Refused(Problem.notRun(ProblemCode.BODY_TOO_LARGE, detail));
  }

  private static Result tooSlow() {
    String detail = "the body did not arrive in time";
    return new Result.Refused(Problem.notRun(ProblemCode.REQUEST_TIMEOUT, detail));
  }
}
