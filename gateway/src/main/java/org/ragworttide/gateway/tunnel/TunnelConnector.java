package org.ragworttide.gateway.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Opens tunnels through other VMs.
 *
 * <p>Invariants: nothing but the request for the tunnel is sent before the asked VM has connected
 * to the upstream. The upstream's end of its side of the connection is a message of its own, which
 * counts only if the upstream has received all that was sent, so that a tunnel that breaks is never
 * taken for a complete response. Confined to the event loop.
 */
public final class TunnelConnector {
  /** Bytes of the length that precedes each message of the asked VM. */
  static final int LENGTH_BYTES = Integer.BYTES;

  /** Longest message: more than is read from a connection at a time. */
  private static final int MAX_MESSAGE_BYTES = 1_024 * 1_024;

  /**
   * Milliseconds within which a tunnel is open: the time in which the asked VM gives up a silent
   * upstream, and the way to that VM.
   */
  private static final int OPEN_TIMEOUT_MILLIS = 600;

  private final Bootstrap bootstrap;
  private final InetAddress own;

  /**
   * Creates a connector.
   *
   * @param bootstrap has the event loop and the options of connections
   * @param own the address from which it connects: the one by which the other VMs know this VM
   */
  public TunnelConnector(Bootstrap bootstrap, InetAddress own) {
    this.bootstrap = bootstrap;
    this.own = own;
  }

  /**
   * Opens a tunnel.
   *
   * @param vm the address on which the asked VM listens for others
   * @param request the upstream
   * @param addHandlers adds the handlers of the opened tunnel to the pipeline
   * @param opened called when the tunnel is open
   * @param failed receives the reply, empty if the VM has given none
   * @return the future of the tunnel's end
   */
  public ChannelFuture open(
      InetSocketAddress vm,
      TunnelRequest request,
      Consumer<ChannelPipeline> addHandlers,
      Runnable opened,
      Consumer<Optional<TunnelReply>> failed) {
    TunnelEnd end = new TunnelEnd(addHandlers, opened, failed);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .option(ChannelOption.ALLOW_HALF_CLOSURE, false)
            .option(EpollChannelOption.IP_BIND_ADDRESS_NO_PORT, true)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new LengthFieldBasedFrameDecoder(
                                MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(end);
                  }
                })
            .connect(vm, new InetSocketAddress(own, 0));
    Channel channel = connecting.channel();
    channel
        .eventLoop()
        .schedule(() -> end.giveUp(channel), OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            ByteBuf message = channel.alloc().buffer();
            request.encode(message);
            channel.writeAndFlush(message);
          } else {
            end.giveUp(channel);
          }
        });
    return channel.closeFuture();
  }

  /** The VM's own end of a tunnel. Confined to the event loop. */
  private static final class TunnelEnd extends ChannelDuplexHandler {
    private final Consumer<ChannelPipeline> addHandlers;
    private final Runnable opened;
    private final Consumer<Optional<TunnelReply>> failed;
    private boolean replied;
    private boolean open;
    private boolean endAnnounced;
    private boolean inputEnded;
    private long sentBytes;

    private TunnelEnd(
        Consumer<ChannelPipeline> addHandlers,
        Runnable opened,
        Consumer<Optional<TunnelReply>> failed) {
      this.addHandlers = addHandlers;
      this.opened = opened;
      this.failed = failed;
    }

    private void giveUp(Channel channel) {
      if (!replied) {
        fail(Optional.empty());
        channel.close();
      }
    }

    private void fail(Optional<TunnelReply> reply) {
      replied = true;
      failed.accept(reply);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (!replied) {
        handleReply(ctx, bytes);
      } else if (endAnnounced) {
        handleEnd(ctx, bytes);
      } else if (bytes.isReadable()) {
        ctx.fireChannelRead(bytes);
        return;
      } else {
        endAnnounced = true;
      }
      ReferenceCountUtil.release(message);
    }

    private void handleEnd(ChannelHandlerContext ctx, ByteBuf receivedBytes) {
      if (!inputEnded
          && receivedBytes.readableBytes() == Long.BYTES
          && receivedBytes.readLong() == sentBytes) {
        inputEnded = true;
        ctx.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (open) {
        sentBytes += ((ByteBuf) message).readableBytes();
      }
      ctx.write(message, promise);
    }

    private void handleReply(ChannelHandlerContext ctx, ByteBuf bytes) {
      Optional<TunnelReply> reply =
          bytes.isReadable() ? TunnelReply.of(bytes.readByte()) : Optional.empty();
      if (reply.equals(Optional.of(TunnelReply.OPEN))) {
        replied = true;
        open = true;
        addHandlers.accept(ctx.pipeline());
        opened.run();
      } else {
        fail(reply);
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!replied) {
        fail(Optional.empty());
      } else if (open && !inputEnded) {
        ctx.fireExceptionCaught(new IOException("tunnel broke off"));
      }
      ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (open) {
        ctx.fireExceptionCaught(cause);
      } else {
        giveUp(ctx.channel());
      }
    }
  }
}
