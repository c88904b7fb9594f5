package org.ragworttide.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworttide.gateway.relay.ForwardedMetadata;
import org.ragworttide.gateway.relay.RequestMetadata;
import org.ragworttide.gateway.relay.ResponseMetadata;

/**
 * Decodes and encodes the headers of callers and upstreams.
 *
 * <p>Implementations only translate between headers and metadata, and hold no state.
 */
public interface HeaderCodec {

  /** Returns the metadata of a caller's request. */
  RequestMetadata readRequest(HttpRequest request);

  /**
   * Returns the headers for an upstream: those of the caller that may be forwarded, and the
   * gateway's own.
   *
   * @param received the caller's headers
   * @param forwarded the metadata that the gateway sends to the upstream
   */
  HttpHeaders toUpstream(HttpHeaders received, ForwardedMetadata forwarded);

  /** Returns the metadata of an upstream's response. */
  ResponseMetadata readResponse(HttpResponse response);
}
