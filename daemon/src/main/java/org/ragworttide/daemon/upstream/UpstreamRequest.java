package org.ragworttide.daemon.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A request as an upstream receives it.
 *
 * <p>Invariant: headers and target are free of the caller's key. Not changed after construction,
 * safe for use by any thread.
 *
 * @param method the HTTP method
 * @param target path and query
 * @param headers end-to-end headers without content length
 * @param body the whole body, empty if there is none
 * @param idempotent whether the request may be sent again
 */
public record UpstreamRequest(
    HttpMethod method, String target, HttpHeaders headers, byte[] body, boolean idempotent) {

  /** Checks the target. */
  public UpstreamRequest {
    if (!target.startsWith("/")) {
      throw new IllegalArgumentException("target must be an absolute path");
    }
  }

  /** Returns the request with one header set. */
  public UpstreamRequest withHeader(CharSequence name, String value) {
    return new UpstreamRequest(method, target, headers.copy().set(name, value), body, idempotent);
  }
}
