package org.ragworttide.gateway.relay;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Reason for which the gateway refuses a request, with the status that it returns.
 *
 * <p>Invariant: a status that guarantees that the request has not run is used only if no byte of
 * the request was sent or each upstream that received it reported that it has not run. Immutable.
 */
public enum Refusal {
  /** The VM has read no configuration yet. */
  NOT_CONFIGURED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The VM is stopping and might have too little time to answer the request. */
  STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** No route matches the host and path. */
  NO_ROUTE(HttpResponseStatus.NOT_FOUND),
  /** The route requires a key and the caller's key is unknown. */
  UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED),
  /** The request is quarantined, because upstreams crashed while running it. */
  HELD_BACK(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /**
   * The request continues a stream and no VM that was reached remembers the version that began it,
   * or the caller does not name the stream; several versions may have begun it.
   */
  STREAM_UNKNOWN(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The request continues a stream, and no upstream of the version that began it is present. */
  STREAM_VERSION_GONE(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The service has no available upstream. */
  NO_UPSTREAM(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** Every available upstream wants no request now, and at least one because of its limit. */
  UPSTREAMS_LIMITED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** No upstream that was tried has run the request: each reported so or was unreachable. */
  UPSTREAMS_FULL(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The deadline passed; the request was not sent, or no upstream that received it has run it. */
  EXPIRED_UNSENT(HttpResponseStatus.SERVICE_UNAVAILABLE),
  /** The deadline passed after the request was sent; the request may have run. */
  EXPIRED(HttpResponseStatus.GATEWAY_TIMEOUT),
  /** The VM stops before an upstream has answered; the request may have run. */
  INTERRUPTED(HttpResponseStatus.GATEWAY_TIMEOUT),
  /** The upstream failed after the request was sent; the request may have run. */
  UPSTREAM_FAILED(HttpResponseStatus.BAD_GATEWAY);

  private final HttpResponseStatus status;

  Refusal(HttpResponseStatus status) {
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }

  /** Returns whether the caller may send the request again. */
  boolean isRetryable() {
    return switch (this) {
      case HELD_BACK, STREAM_UNKNOWN, STREAM_VERSION_GONE -> false;
      default -> status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    };
  }
}
