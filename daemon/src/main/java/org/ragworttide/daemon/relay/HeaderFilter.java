package org.ragworttide.daemon.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Selects the headers that are forwarded between callers and upstreams.
 *
 * <p>Invariant: no hop-by-hop header is forwarded, and no header that can carry the caller's API
 * key reaches an upstream. Stateless, safe for use by any thread.
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
   * Returns the headers of a caller that are forwarded to an upstream.
   *
   * @param key the caller's API key, empty if it presented none
   */
  public static HttpHeaders toUpstream(HttpHeaders received, String key) {
    HttpHeaders kept = endToEnd(received);
    for (Map.Entry<String, String> header : endToEnd(received)) {
      boolean neverForwarded = NEVER_TO_UPSTREAM.contains(header.getKey().toLowerCase(Locale.ROOT));
      boolean carriesKey = !key.isEmpty() && header.getValue().contains(key);
      if (neverForwarded || carriesKey) {
        kept.remove(header.getKey());
      }
    }
    return kept;
  }

  /** Returns the headers of an upstream that are forwarded to a caller. */
  public static HttpHeaders toCaller(HttpHeaders received) {
    return endToEnd(received);
  }

  /** Returns the end-to-end headers, without those that apply to one connection only. */
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
