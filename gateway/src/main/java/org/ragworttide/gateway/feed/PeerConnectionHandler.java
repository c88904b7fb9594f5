package org.ragworttide.gateway.feed;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;

/** Takes over connections of other VMs that do not follow this one. Called on the event loop. */
public interface PeerConnectionHandler {

  /**
   * Takes over a connection unless its first message is not meant for this handler.
   *
   * @param ctx the context of the handler that is to be replaced
   * @param message the first message, which the caller releases
   * @return whether the message was meant for this handler
   */
  boolean accept(ChannelHandlerContext ctx, ByteBuf message);
}
