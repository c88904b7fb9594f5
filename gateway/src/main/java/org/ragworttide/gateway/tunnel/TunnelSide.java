package org.ragworttide.gateway.tunnel;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Passes the bytes of one connection of a tunnel on to the other one.
 *
 * <p>Invariant: a connection is not read while the other one has too many bytes to send. Confined
 * to the event loop.
 */
abstract class TunnelSide extends ChannelInboundHandlerAdapter {
  private final Supplier<Optional<Channel>> other;

  /**
   * Creates a side.
   *
   * @param other returns the other connection, empty while it is being opened
   */
  TunnelSide(Supplier<Optional<Channel>> other) {
    this.other = other;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    Optional<Channel> receiver = other.get();
    if (receiver.isEmpty()) {
      ReferenceCountUtil.release(message);
      ctx.close();
      return;
    }
    receiver.get().write(message);
    if (!receiver.get().isWritable()) {
      receiver.get().flush();
      ctx.channel().config().setAutoRead(receiver.get().isWritable());
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    other.get().ifPresent(Channel::flush);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    other.get().ifPresent(it -> it.config().setAutoRead(ctx.channel().isWritable()));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
