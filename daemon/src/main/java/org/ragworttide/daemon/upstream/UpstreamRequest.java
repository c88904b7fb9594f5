package org.ragworttide.daemon.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Request in the form in which an upstream receives it.
 *
 * <p>Invariant: headers and target do not contain the caller's API key. Not changed after
 * construction, safe for use by any thread.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the end-to-end headers, without the content length
 * @param body the complete body, empty if there is none
 * @param idempotent whether the request may be sent again
 */
public record UpstreamRequest(
    HttpMethod method, String target, HttpHeaders headers, byte[] body, boolean idempotent) {

  /** Checks that the target is an absolute path. */
  public UpstreamRequest {
    if (!target.startsWith("/")) {
      throw new IllegalArgumentException("target must be an absolute path");
    }
  }

  /** Returns this request with one header set. */
  public UpstreamRequest withHeader(CharSequence name, String value) {
    return new UpstreamRequest(method, target, headers.copy().set(name, value), body, idempotent);
  }
}
