package org.ragworttide.daemon.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the headers that pass between callers and upstreams.
 *
 * <p>Invariant: no header of one connection, and none that can carry the caller's key, passes.
 * Stateless, safe for use by any thread.
 */
public final class HeaderFilter {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "content-length",
          "expect");
  private static final Set<String> NEVER_TO_UPSTREAM =
      Set.of(
          "authorization",
          "proxy-authorization",
          "api-key",
          "x-api-key",
          "cookie",
          "host",
          "accept-encoding",
          "request-timeout-ms",
          "stream-resume-after",
          "request-id");

  private HeaderFilter() {}

  /**
   * Returns what an upstream may see of a caller's headers.
   *
   * @param key the caller's key, empty if it gave none
   */
  public static HttpHeaders toUpstream(HttpHeaders received, String key) {
    HttpHeaders kept = endToEnd(received);
    for (Map.Entry<String, String> header : endToEnd(received)) {
      boolean named = NEVER_TO_UPSTREAM.contains(header.getKey().toLowerCase(Locale.ROOT));
      boolean carriesKey = !key.isEmpty() && header.getValue().contains(key);
      if (named || carriesKey) {
        kept.remove(header.getKey());
      }
    }
    return kept;
  }

  /** Returns what a caller may see of an upstream's headers. */
  public static HttpHeaders toCaller(HttpHeaders received) {
    return endToEnd(received);
  }

  /** Returns the headers that concern more than one connection. */
  public static HttpHeaders endToEnd(HttpHeaders received) {
    Set<String> dropped = new HashSet<>(HOP_BY_HOP);
    for (String value : received.getAll("connection")) {
      for (String name : value.split(",")) {
        dropped.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    HttpHeaders kept = new DefaultHttpHeaders();
    for (Map.Entry<String, String> header : received) {
      if (!dropped.contains(header.getKey().toLowerCase(Locale.ROOT))) {
        kept.add(header.getKey(), header.getValue());
      }
    }
    return kept;
  }
}
