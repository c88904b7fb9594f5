package org.ragworttide.gateway.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Why the gateway answers a request itself.
 *
 * <p>Invariant: a status that promises that the request has not run is used only where no byte of
 * it was sent or the upstream said so. Immutable.
 */
public enum Refusal {
  /** The VM has read no configuration yet. */
  NOT_CONFIGURED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The VM stops and has no time left for the request. */
  STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** No route matches. */
  NO_ROUTE(HttpResponseStatus.NOT_FOUND),
  /** The key is unknown. */
  UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED),
  /** The request has crashed upstreams that ran it. */
  HELD_BACK(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** No upstream can take the request. */
  NO_UPSTREAM(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The upstreams said that they have not run the request. */
  UPSTREAMS_FULL(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The time was up before the request was sent. */
  EXPIRED_UNSENT(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The time was up after the request was sent; it may have run. */
  EXPIRED(HttpResponseStatus.GATEWAY_TIMEOUT),
  /** The upstream failed after the request was sent; it may have run. */
  UPSTREAM_FAILED(HttpResponseStatus.BAD_GATEWAY);

  private final HttpResponseStatus status;

  Refusal(HttpResponseStatus status) {
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }

  /** Tells whether the caller may come back. */
  boolean isReturnable() {
    return this != HELD_BACK && status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
  }
}
