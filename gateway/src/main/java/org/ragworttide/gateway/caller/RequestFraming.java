package org.ragworttide.gateway.caller;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Optional;

/**
 * Checks that the framing of a request is unambiguous, so that no request is smuggled inside
 * another. Stateless.
 */
final class RequestFraming {

  private RequestFraming() {}

  /** Returns the status with which a request is refused, empty if the request is valid. */
  static Optional<HttpResponseStatus> errorStatus(HttpRequest request, int maxBodyBytes) {
    if (request.decoderResult().isFailure()) {
      return Optional.of(status(request.decoderResult().cause()));
    }
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    boolean chunked = encodings.size() == 1 && encodings.getFirst().equalsIgnoreCase("chunked");
    boolean olderVersion = !request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    if (!encodings.isEmpty() && (!chunked || !lengths.isEmpty() || olderVersion)) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    if (lengths.size() > 1 || lengths.stream().anyMatch(it -> !it.matches("\\d{1,18}"))) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1
        || !request.uri().startsWith("/")) {
      return Optional.of(HttpResponseStatus.BAD_REQUEST);
    }
    if (!lengths.isEmpty() && Long.parseLong(lengths.getFirst()) > maxBodyBytes) {
      return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    return Optional.empty();
  }

  private static HttpResponseStatus status(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return HttpResponseStatus.REQUEST_URI_TOO_LONG;
    }
    return cause instanceof TooLongFrameException
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }
}
