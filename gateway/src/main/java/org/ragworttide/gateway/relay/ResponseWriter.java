package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the response to one caller's request. Confined to the event loop. */
public interface ResponseWriter {

  /** Sends a complete response; no other call may follow. */
  void respond(FullHttpResponse response);

  /** Begins a response whose body is sent in chunks. */
  void begin(HttpResponse head);

  /** Sends a chunk of the body and releases it. */
  void send(ByteBuf chunk);

  /** Completes a begun response. */
  void end();

  /** Aborts a begun response, so that the caller cannot take it for complete. */
  void abort();

  /** Returns whether the caller's connection can be written to without further buffering. */
  boolean isWritable();
}
