package org.ragworttide.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.ragworttide.gateway.HeaderCodec;
import org.ragworttide.gateway.tunnel.TunnelConnector;
import org.ragworttide.gateway.tunnel.TunnelRequest;

/**
 * Provides connections to upstreams, reuses idle ones and opens others through other VMs.
 *
 * <p>Confined to the event loop.
 */
public final class UpstreamConnector {
  /**
   * Connect timeout: many round trips within a region, less than the delay before a SYN is
   * retransmitted.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * Milliseconds for which sent bytes or keep-alive probes may stay unacknowledged, or for which an
   * upstream may accept no further bytes. Linux gives up at the first probe that is due later, not
   * at {@code TCP_KEEPCNT}: only a silence that outlasts three probes ends a connection.
   */
  private static final int SILENCE_TIMEOUT_MILLIS = 3_500;

  /** Seconds without traffic before the first keep-alive probe, and between probes. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  /** Probes after which a system that ignores the timeout for probes gives up. */
  private static final int KEEP_ALIVE_PROBES = 3;

  private final Bootstrap bootstrap;
  private final TunnelConnector tunnels;
  private final HeaderCodec headerCodec;
  private final ForeignBytesListener foreignBytes;
  private final LongSupplier clock;

  /**
   * Creates a connector whose connections use the event loop.
   *
   * @param own the address by which other VMs know this one
   */
  public UpstreamConnector(
      EventLoop loop,
      Class<? extends Channel> type,
      InetAddress own,
      HeaderCodec headerCodec,
      ForeignBytesListener foreignBytes,
      LongSupplier clock) {
    this.headerCodec = headerCodec;
    this.foreignBytes = foreignBytes;
    this.clock = clock;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(type)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.SO_KEEPALIVE, true);
    if (EpollSocketChannel.class.isAssignableFrom(type)) {
      bootstrap
          .option(EpollChannelOption.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MILLIS)
          .option(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, KEEP_ALIVE_PROBES);
    }
    this.tunnels = new TunnelConnector(bootstrap, own);
  }

  /** Returns a copy of the options of connections to upstreams, without a handler. */
  public Bootstrap bootstrap() {
    return bootstrap.clone();
  }

  /** Returns an idle connection to the upstream, empty if there is none. */
  public Optional<UpstreamConnection> takeIdle(Upstream upstream) {
    return upstream.takeIdle(clock.getAsLong());
  }

  /**
   * Checks by a new connection, which is kept for later requests, whether the upstream still
   * listens.
   */
  public void check(Upstream upstream, Runnable listens, Consumer<ConnectFailure> failed) {
    open(
        upstream,
        connection -> {
          connection.keepIdle();
          listens.run();
        },
        failed);
  }

  /** Passes a new connection to {@code opened}, or a failure to {@code failed}. */
  public void open(
      Upstream upstream, Consumer<UpstreamConnection> opened, Consumer<ConnectFailure> failed) {
    UpstreamConnection connection = newConnection(upstream);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.addTo(channel.pipeline());
                  }
                })
            .connect(upstream.entry().address());
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            opened.accept(connection);
          } else {
            failed.accept(ConnectFailure.of(done.cause()));
          }
        });
  }

  /**
   * Passes a new connection through another VM, which carries one request, to {@code opened}, or a
   * failure to {@code failed}.
   *
   * @param vm the address on which the other VM listens
   * @param requestId the id of the caller's request, for the other VM's logs
   * @param pauseStated receives the milliseconds of a pause for which the upstream asks
   * @return the future of the connection's end
   */
  public ChannelFuture openThrough(
      InetSocketAddress vm,
      Upstream upstream,
      String requestId,
      LongConsumer pauseStated,
      Consumer<UpstreamConnection> opened,
      Consumer<ConnectFailure> failed) {
    UpstreamConnection connection = newConnection(upstream);
    connection.setTunnelled(pauseStated);
    return tunnels.open(
        vm,
        new TunnelRequest(upstream.incarnationKey(), requestId),
        connection::addTo,
        () -> opened.accept(connection),
        reply -> failed.accept(ConnectFailure.of(reply)));
  }

  private UpstreamConnection newConnection(Upstream upstream) {
    return new UpstreamConnection(upstream, headerCodec, foreignBytes, clock);
  }
}
