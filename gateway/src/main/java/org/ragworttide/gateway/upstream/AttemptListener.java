package org.ragworttide.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworttide.gateway.relay.AnswerHead;

/**
 * Hears how a request fares at an upstream. After {@link #ended}, {@link #unreachable} or {@link
 * #broken} nothing more comes. Called on the event loop.
 */
public interface AttemptListener {

  /** No connection could be opened; no byte of the request has left. */
  void unreachable(String reason);

  /** The head of the answer to this request is in. */
  void answered(HttpResponse response, AnswerHead head);

  /** A piece of the body is in; the listener owns the buffer. */
  void received(ByteBuf content);

  /** The answer is whole. */
  void ended();

  /** The request was sent and its answer will not come whole; it may have run. */
  void broken(String reason);
}
