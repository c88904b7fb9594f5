package org.ragworttide.gateway.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectDecoder;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragworttide.gateway.Dialect;

/**
 * Gives connections to upstreams, kept ones first.
 *
 * <p>Confined to the event loop.
 */
public final class UpstreamConnector {
  /**
   * Milliseconds for a new connection: many round trips within a region, less than a re-sent SYN.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Milliseconds for which sent bytes may stay unacknowledged: several resends at 200 ms. */
  private static final int UNACKNOWLEDGED_MILLIS = 1_500;

  /** Seconds of silence before, and between, probes of a connection. */
  private static final int KEEP_ALIVE_SECONDS = 1;

  private static final int MAX_CHUNK_BYTES = 16_384;

  private final Bootstrap bootstrap;
  private final Dialect dialect;
  private final LongSupplier clock;

  /** Creates a connector whose connections run on the loop. */
  public UpstreamConnector(
      EventLoop loop, Class<? extends Channel> type, Dialect dialect, LongSupplier clock) {
    this.dialect = dialect;
    this.clock = clock;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(type)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true);
    if (EpollSocketChannel.class.isAssignableFrom(type)) {
      bootstrap
          .option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS)
          .option(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, 2);
    }
  }

  /** Gives an idle or new connection to one of the two. */
  public void connect(
      Upstream upstream, Consumer<UpstreamConnection> opened, Consumer<String> failed) {
    Optional<UpstreamConnection> kept = upstream.takeIdle(clock.getAsLong());
    if (kept.isPresent()) {
      opened.accept(kept.get());
      return;
    }
    UpstreamConnection connection = new UpstreamConnection(upstream, dialect, clock);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(codec()).addLast(connection);
                  }
                })
            .connect(upstream.entry().address());
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            opened.accept(connection);
          } else {
            failed.accept(done.cause().getClass().getSimpleName());
          }
        });
  }

  private static HttpClientCodec codec() {
    return new HttpClientCodec(
        HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH, MAX_CHUNK_BYTES, MAX_CHUNK_BYTES);
  }
}
