package org.ragworttide.daemon.upstream;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks that the head of a response is a single one: an extra response that breaks off within its
 * head is continued by the head of the next response, and the result mixes their fields. Stateless.
 */
final class ResponseFraming {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01]\\s+\\d{3}");

  private ResponseFraming() {}

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
    return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
  }
}
