package org.ragworttide.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import org.ragworttide.gateway.relay.RelayContext;

/** Accepts connections of callers. Confined to the event loop. */
public final class CallerServer {
  /** Connections that may wait to be accepted: a burst of reconnecting callers. */
  private static final int BACKLOG = 1_024;

  /**
   * Milliseconds for which bytes sent to a caller may stay unacknowledged before its connection is
   * closed.
   */
  private static final int UNACKNOWLEDGED_TIMEOUT_MILLIS = 5_000;

  private CallerServer() {}

  /** Starts listening on the address. */
  public static ChannelFuture bind(
      EventLoop loop,
      Class<? extends ServerChannel> type,
      InetSocketAddress address,
      RelayContext context,
      CallerConnections connections) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(type)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    CallerHandler handler = new CallerHandler(context, connections);
                    channel
                        .pipeline()
                        .addLast(handler.createHeadTimeoutHandler())
                        .addLast(new StrictRequestDecoder(context.view().limits().headerBytes()))
                        .addLast(new HttpResponseEncoder())
                        .addLast(handler);
                  }
                });
    if (EpollServerSocketChannel.class.isAssignableFrom(type)) {
      bootstrap.childOption(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLIS);
    }
    return bootstrap.bind(address);
  }
}
