package org.ragworttide.daemon.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * The head of a caller's request as received.
 *
 * <p>Not changed after construction, safe for use by any thread.
 *
 * @param method the HTTP method
 * @param uri the request target
 * @param headers all headers
 */
record RequestHead(HttpMethod method, String uri, HttpHeaders headers) {
  private static final String BEARER = "Bearer ";
  private static final String AUTHORIZATION = "Authorization";

  /** Returns the path without query. */
  String path() {
    int end = uri.indexOf('?');
    return end < 0 ? uri : uri.substring(0, end);
  }

  /** Returns the query without its question mark, empty if there is none. */
  String query() {
    int start = uri.indexOf('?');
    return start < 0 ? "" : uri.substring(start + 1);
  }

  /** Returns the bearer key, empty if there is none. */
  String bearerKey() {
    String value = headers.get(AUTHORIZATION, "").strip();
    boolean bearer = value.regionMatches(true, 0, BEARER, 0, BEARER.length());
    return bearer ? value.substring(BEARER.length()).strip() : "";
  }

  @Override
  public String toString() {
    return method + " " + path();
  }
}
