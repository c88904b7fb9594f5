package org.ragworttide.gateway.feed;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.StorePosition;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * Receives the changes of the store from one other VM.
 *
 * <p>Invariant: messages of a connection that was given up are ignored. Confined to the event loop.
 */
final class FeedClient {
  /** Largest message: a listing of a store with a megabyte of small entries and large values. */
  private static final int MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;

  private static final int LENGTH_BYTES = 4;

  /** Many round trips within a region. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Receives the events of the connection in use. Called on the event loop. */
  interface Listener {

    /** Called when a message has been received. */
    void received(FeedMember from, FeedMessage message);

    /** Called when the connection has ended or could not be opened. */
    void disconnected(FeedMember from);
  }

  private final Listener listener;
  private final EventLoop loop;
  private final Class<? extends Channel> type;
  private final InetAddress own;
  private Channel channel;

  /**
   * Creates a client without a connection.
   *
   * @param own the address from which it connects: the one by which the other VMs know this VM
   */
  FeedClient(EventLoop loop, Class<? extends Channel> type, InetAddress own, Listener listener) {
    this.loop = loop;
    this.type = type;
    this.own = own;
    this.listener = listener;
  }

  /** Connects to the VM and requests the changes after the position. */
  void connect(FeedMember parent, StorePosition after) {
    close();
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(type)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(EpollChannelOption.IP_BIND_ADDRESS_NO_PORT, true)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel opened) {
                    opened
                        .pipeline()
                        .addLast(
                            new LengthFieldBasedFrameDecoder(
                                MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new Receiver(parent));
                  }
                })
            .connect(FeedAddress.address(parent.address()), new InetSocketAddress(own, 0));
    channel = connecting.channel();
    Channel opening = channel;
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            opening.writeAndFlush(
                opening
                    .alloc()
                    .buffer(FeedServer.REQUEST_BYTES)
                    .writeLong(after.revision())
                    .writeLong(after.era()));
          } else if (channel == opening) {
            channel = null;
            listener.disconnected(parent);
          }
        });
  }

  /** Closes the connection. */
  void close() {
    if (channel != null) {
      Channel closing = channel;
      channel = null;
      closing.close();
    }
  }

  /** Handles the messages of one connection. Confined to the event loop. */
  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
    private final FeedMember parent;

    private Receiver(FeedMember parent) {
      this.parent = parent;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      if (ctx.channel() != channel) {
        return;
      }
      FeedMessage.decode(ByteBufUtil.getBytes(bytes))
          .ifPresentOrElse(
              message -> listener.received(parent, message),
              () -> {
                EventLog.log(
                    LogEvent.PEER_FRAME_REFUSED, ctx.channel().remoteAddress(), "malformed feed");
                ctx.close();
              });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (ctx.channel() == channel) {
        channel = null;
        listener.disconnected(parent);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.channel() == channel) {
        EventLog.log(LogEvent.PEER_FRAME_REFUSED, ctx.channel().remoteAddress(), cause.toString());
      }
      ctx.close();
    }
  }
}
