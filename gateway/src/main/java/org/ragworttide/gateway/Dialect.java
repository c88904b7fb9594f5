package org.ragworttide.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworttide.gateway.relay.AnswerHead;
import org.ragworttide.gateway.relay.ForwardedHead;
import org.ragworttide.gateway.relay.RequestHead;

/**
 * Translates between the headers of callers and upstreams and what they mean.
 *
 * <p>Implementations decide nothing and hold no state.
 */
public interface Dialect {

  /** Returns what a caller's request says of itself. */
  RequestHead readRequest(HttpRequest request);

  /**
   * Returns the headers for an upstream: those of the caller that may pass, and the gateway's own.
   *
   * @param received the caller's headers
   * @param forwarded what the gateway tells the upstream
   */
  HttpHeaders toUpstream(HttpHeaders received, ForwardedHead forwarded);

  /** Returns what an upstream's answer says of itself. */
  AnswerHead readAnswer(HttpResponse response);
}
