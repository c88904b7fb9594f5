package org.ragworttide.fakes;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Counts requests that carried a caller's key in a header, the query or a cookie.
 *
 * <p>Invariant: the count never decreases. Safe for use by any thread.
 */
final class CallerKeyCounter {
  private static final Set<String> CREDENTIAL_HEADERS =
      Set.of("authorization", "proxy-authorization", "x-api-key", "api-key");

  private final Set<String> keys;
  private final AtomicInteger count = new AtomicInteger();

  CallerKeyCounter(Set<String> keys) {
    this.keys = Set.copyOf(keys);
  }

  void inspect(HttpServerRequest request) {
    String uri = URLDecoder.decode(request.uri(), StandardCharsets.UTF_8);
    if (carriesKey(request.requestHeaders()) || holdsKey(uri)) {
      count.incrementAndGet();
    }
  }

  int count() {
    return count.get();
  }

  private boolean carriesKey(HttpHeaders headers) {
    return headers.entries().stream()
        .anyMatch(
            header ->
                CREDENTIAL_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))
                    || holdsKey(header.getValue()));
  }

  private boolean holdsKey(String text) {
    return text.contains("Bearer ") || keys.stream().anyMatch(text::contains);
  }
}
