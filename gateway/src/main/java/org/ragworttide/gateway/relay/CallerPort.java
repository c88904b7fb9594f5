package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Where the answer to one caller's request goes; used on the event loop. */
public interface CallerPort {

  /** Sends a whole answer; nothing may follow. */
  void respond(FullHttpResponse response);

  /** Begins an answer whose body follows in pieces. */
  void begin(HttpResponse head);

  /** Sends a piece of the body and releases it. */
  void send(ByteBuf piece);

  /** Ends a begun answer as whole. */
  void end();

  /** Breaks a begun answer off, so that it can't be taken for whole. */
  void abort();

  /** Tells whether the caller takes more at the moment. */
  boolean hasRoom();
}
