package org.ragworttide.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragworttide.gateway.HeaderCodec;

/**
 * Provides connections to upstreams and reuses idle ones.
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
   * Milliseconds for which sent bytes may stay unacknowledged: several retransmissions at 200 ms.
   */
  private static final int UNACKNOWLEDGED_TIMEOUT_MILLIS = 1_500;

  /** Seconds without traffic before the first keep-alive probe, and between probes. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  private final Bootstrap bootstrap;
  private final HeaderCodec headerCodec;
  private final ForeignBytesListener foreignBytes;
  private final LongSupplier clock;

  /** Creates a connector whose connections use the event loop. */
  public UpstreamConnector(
      EventLoop loop,
      Class<? extends Channel> type,
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
          .option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MILLIS)
          .option(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, 2);
    }
  }

  /**
   * Passes an idle or new connection to {@code opened}, or the reason of a failure to {@code
   * failed}.
   */
  public void connect(
      Upstream upstream, Consumer<UpstreamConnection> opened, Consumer<ConnectFailure> failed) {
    Optional<UpstreamConnection> idle = upstream.takeIdle(clock.getAsLong());
    if (idle.isPresent()) {
      opened.accept(idle.get());
    } else {
      open(upstream, opened, failed);
    }
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

  private void open(
      Upstream upstream, Consumer<UpstreamConnection> opened, Consumer<ConnectFailure> failed) {
    UpstreamConnection connection =
        new UpstreamConnection(upstream, headerCodec, foreignBytes, clock);
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
}
