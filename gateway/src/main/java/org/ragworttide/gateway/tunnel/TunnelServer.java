package org.ragworttide.gateway.tunnel;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import org.ragworttide.daemon.upstream.ResponseDecoder;
import org.ragworttide.gateway.feed.PeerConnectionHandler;
import org.ragworttide.gateway.relay.Telemetry;
import org.ragworttide.gateway.relay.UpstreamPaths;
import org.ragworttide.gateway.upstream.ConnectFailure;
import org.ragworttide.gateway.upstream.Upstream;

/**
 * Connects other VMs to upstreams that they cannot reach.
 *
 * <p>A tunnel carries the bytes of one request and its response. The asking VM decides all about
 * the request; this VM only refuses a tunnel to an upstream that is not known to it or that wants
 * no requests from it.
 *
 * <p>Invariants: tunnels lead only to upstreams that this VM knows from the store, and never
 * through a further VM. Either end that closes ends the other. The asking VM is told that the
 * upstream has ended its side only if the upstream has received all that was passed on to it, and
 * how many bytes these are. The bytes that wait for a slow end are bounded, since the other one is
 * not read meanwhile. Confined to the event loop.
 */
public final class TunnelServer implements PeerConnectionHandler {
  /** Tunnels that a VM carries, which take two connections each. */
  static final int MAX_TUNNELS = 512;

  /**
   * Milliseconds for which the asking VM may accept or acknowledge nothing: longer than a caller
   * may, for whose sake that VM does not read.
   */
  private static final int REQUESTER_TIMEOUT_MILLIS = 6_000;

  /** Seconds without traffic before the asking VM is probed, and between probes. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  /** Bytes that wait for a slow end of a tunnel when reading from the other end stops. */
  private static final WriteBufferWaterMark WAITING_BYTES =
      new WriteBufferWaterMark(8 * 1_024, 32 * 1_024);

  private final Bootstrap bootstrap;
  private final UpstreamPaths paths;
  private final IntFunction<Optional<Upstream>> upstreams;
  private final BooleanSupplier isStopping;
  private final Telemetry telemetry;
  private int open;

  /**
   * Creates a server.
   *
   * @param bootstrap has the event loop and the options of connections to upstreams
   * @param paths the VM's own ways to upstreams
   * @param upstreams finds an upstream by the key of its incarnation if it accepts requests
   * @param isStopping whether the VM is being stopped
   * @param telemetry logs the tunnels and counts them
   */
  public TunnelServer(
      Bootstrap bootstrap,
      UpstreamPaths paths,
      IntFunction<Optional<Upstream>> upstreams,
      BooleanSupplier isStopping,
      Telemetry telemetry) {
    this.bootstrap = bootstrap;
    this.paths = paths;
    this.upstreams = upstreams;
    this.isStopping = isStopping;
    this.telemetry = telemetry;
  }

  /** Returns whether any tunnel is open or being opened. */
  public boolean areAnyOpen() {
    return open > 0;
  }

  @Override
  public boolean accept(ChannelHandlerContext ctx, ByteBuf message) {
    Optional<TunnelRequest> request = TunnelRequest.decode(message);
    request.ifPresent(it -> start(ctx, it));
    return request.isPresent();
  }

  private void start(ChannelHandlerContext ctx, TunnelRequest request) {
    Channel requester = ctx.channel();
    Optional<Upstream> upstream = upstreams.apply(request.upstream());
    TunnelReply refusal =
        isStopping.getAsBoolean() || open >= MAX_TUNNELS
            ? TunnelReply.BUSY
            : TunnelReply.UNAVAILABLE;
    if (refusal == TunnelReply.BUSY || upstream.isEmpty()) {
      refuse(requester, request, refusal);
      return;
    }
    open++;
    requester.closeFuture().addListener(closed -> open--);
    Tunnel tunnel = new Tunnel(requester);
    ctx.pipeline().remove(LengthFieldBasedFrameDecoder.class);
    ctx.pipeline().replace(ctx.handler(), "requester", tunnel.requesterHandler());
    requester.config().setAutoRead(false);
    requester.config().setWriteBufferWaterMark(WAITING_BYTES);
    detectLoss(requester.config());
    connect(tunnel, upstream.get(), request);
  }

  private static void detectLoss(ChannelConfig requester) {
    requester.setOption(ChannelOption.SO_KEEPALIVE, true);
    requester.setOption(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS);
    requester.setOption(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS);
    requester.setOption(EpollChannelOption.TCP_USER_TIMEOUT, REQUESTER_TIMEOUT_MILLIS);
  }

  private void connect(Tunnel tunnel, Upstream upstream, TunnelRequest request) {
    UpstreamPaths.Connecting attempt =
        paths.beginConnecting(
            upstream, () -> refuse(tunnel.requester, request, TunnelReply.SILENT));
    ChannelFuture connecting =
        bootstrap
            .clone()
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WAITING_BYTES)
            .handler(tunnel.upstreamHandler())
            .connect(upstream.entry().address());
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            ConnectFailure failure = ConnectFailure.of(done.cause());
            paths.recordFailure(upstream, failure);
            if (attempt.failed()) {
              refuse(tunnel.requester, upstream, request, failure);
            }
          } else if (attempt.opened()) {
            telemetry.recordTunnelServed(
                request.requestId(), tunnel.requester.remoteAddress(), upstream.entry().id());
            tunnel.begin(connecting.channel());
          } else {
            connecting.channel().close();
          }
        });
  }

  /** Refuses a tunnel; a connection that is refused on a cut way tells nothing of the upstream. */
  private void refuse(
      Channel requester, Upstream upstream, TunnelRequest request, ConnectFailure failure) {
    if (failure.refused()) {
      paths.confirmRefusal(
          upstream,
          confirmed ->
              refuse(requester, request, confirmed ? TunnelReply.REFUSED : TunnelReply.SILENT));
    } else {
      refuse(requester, request, TunnelReply.SILENT);
    }
  }

  private void refuse(Channel requester, TunnelRequest request, TunnelReply reply) {
    telemetry.recordTunnelRefused(request.requestId(), requester.remoteAddress(), reply);
    reply(requester, reply).addListener(ChannelFutureListener.CLOSE);
  }

  private static ChannelFuture reply(Channel requester, TunnelReply reply) {
    return requester.writeAndFlush(Unpooled.wrappedBuffer(new byte[] {(byte) reply.ordinal()}));
  }

  /**
   * The two connections of a tunnel. Messages to the requester are preceded by their length, which
   * {@link LengthFieldPrepender} in its pipeline adds; an empty one says that the upstream has
   * ended its side, and the next one how many bytes it has received. Confined to the event loop.
   */
  private static final class Tunnel {
    private final Channel requester;
    private Optional<Channel> upstream = Optional.empty();
    private boolean upstreamEnded;
    private long passedOnBytes;

    private Tunnel(Channel requester) {
      this.requester = requester;
    }

    private void begin(Channel connected) {
      if (!requester.isActive()) {
        connected.close();
        return;
      }
      upstream = Optional.of(connected);
      reply(requester, TunnelReply.OPEN);
      requester.config().setAutoRead(true);
    }

    private ChannelHandler requesterHandler() {
      return new TunnelSide(() -> upstream) {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
          passedOnBytes += ((ByteBuf) message).readableBytes();
          super.channelRead(ctx, message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
          upstream.ifPresent(Channel::close);
        }
      };
    }

    private ChannelHandler upstreamHandler() {
      return new TunnelSide(() -> Optional.of(requester)) {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
          if (event instanceof ChannelInputShutdownEvent) {
            if (hasReceivedAll(ctx.channel())) {
              upstreamEnded = true;
              requester.write(Unpooled.EMPTY_BUFFER);
              requester
                  .writeAndFlush(Unpooled.copyLong(passedOnBytes))
                  .addListener(ChannelFutureListener.CLOSE);
            }
            ctx.close();
          }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
          if (!upstreamEnded) {
            requester.close();
          }
        }
      };
    }

    /** Returns whether the upstream's system has received all that was sent to it. */
    private static boolean hasReceivedAll(Channel channel) {
      return channel.unsafe().outboundBuffer() != null
          && channel.unsafe().outboundBuffer().isEmpty()
          && ResponseDecoder.isAcknowledged(channel);
    }
  }
}
