package org.ragworttide.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.ragworttide.gateway.relay.ResponseMetadata;

/**
 * Receives the events of a request sent to an upstream. No event follows {@link
 * #responseCompleted}, {@link #connectFailed} or {@link #responseFailed}. Called on the event loop.
 */
public interface AttemptListener {

  /** Called when no connection could be opened; no byte of the request has been sent. */
  void connectFailed(ConnectFailure failure);

  /** Called when the status and headers of the response have been received. */
  void responseStarted(HttpResponse response, ResponseMetadata metadata);

  /** Called when a chunk of the body has been received; the listener owns the buffer. */
  void contentReceived(ByteBuf content);

  /** Called when the response has been received completely. */
  void responseCompleted();

  /**
   * Called when the request was sent but its response cannot be received completely; the request
   * may have run.
   */
  void responseFailed(String reason);
}
