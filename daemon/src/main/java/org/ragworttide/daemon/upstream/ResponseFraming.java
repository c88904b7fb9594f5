package org.ragworttide.daemon.upstream;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks that the head of a response is one, and a single one. A status line of an upstream in
 * trouble may have no status. An extra response that breaks off within its head is continued by the
 * head of the next response, and the result mixes their fields. Stateless.
 */
final class ResponseFraming {
  /** As lenient as the decoder, which accepts lower case and any white space. */
  private static final Pattern STATUS_LINE = Pattern.compile("(?i)HTTP/\\d+\\.\\d+\\s+\\d{3}");

  /** A status of RFC 9110, which has classes 1 to 5. */
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  /** Position of the status in a status line. */
  private static final int STATUS_PART = 1;

  private ResponseFraming() {}

  /**
   * Returns why the parts of a first line, which are the version, the status and the reason, are
   * not those of a status line; empty if they are.
   */
  static Optional<String> statusLineError(String[] initialLine) {
    return initialLine.length > STATUS_PART && STATUS.matcher(initialLine[STATUS_PART]).matches()
        ? Optional.empty()
        : Optional.of("response has no status from 100 to 599");
  }

  /** Returns why a response that has been decoded cannot be used, empty if it is valid. */
  static Optional<String> error(HttpResponse response) {
    if (!isKnown(response.protocolVersion())) {
      return Optional.of("response is not HTTP");
    }
    if (containsStatusLine(response)) {
      return Optional.of("response contains the head of another response");
    }
    return Optional.empty();
  }

  private static boolean isKnown(HttpVersion version) {
    return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
  }

  private static boolean containsStatusLine(HttpResponse response) {
    if (isStatusLine(response.status().reasonPhrase())) {
      return true;
    }
    for (Map.Entry<String, String> header : response.headers()) {
      if (isStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean isStatusLine(String text) {
    return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
  }
}
