package org.ragworttide.daemon.peer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import org.ragworttide.protocol.wire.PeerFrame;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.NettyOutbound;
import reactor.netty.tcp.TcpClient;
import reactor.util.concurrent.Queues;

/**
 * Sends frames to one peer over one connection, which it opens when there is something to send.
 *
 * <p>Invariants: frames leave in the order given; a frame is written at most once; what waits while
 * the peer cannot be reached is bounded, and dropped when the attempt fails. Offered to from the
 * coordination thread only.
 */
final class PeerLink implements Disposable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_WAITING_FRAMES = 4_096;
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);

  private final TcpClient client;
  private final PeerIdentity self;
  private final PeerTraffic traffic;
  private volatile Sinks.Many<PeerFrame> waiting;
  private volatile Disposable connection = Disposables.disposed();

  PeerLink(TcpClient client, String host, int port, PeerIdentity self, PeerTraffic traffic) {
    this.client =
        client
            .host(host)
            .port(port)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .doOnConnected(PeerFrames::install);
    this.self = self;
    this.traffic = traffic;
  }

  void offer(PeerFrame frame) {
    Sinks.Many<PeerFrame> sink = waiting;
    if (sink == null) {
      sink = open();
    }
    if (sink.tryEmitNext(frame).isFailure()) {
      traffic.droppedFrames.inc();
    }
  }

  @Override
  public void dispose() {
    Sinks.Many<PeerFrame> sink = waiting;
    if (sink != null) {
      sink.tryEmitComplete();
    }
  }

  /** Closes the connection at once with what waits in it; the next offer opens another. */
  void renew() {
    dispose();
    waiting = null;
    connection.dispose();
  }

  private Sinks.Many<PeerFrame> open() {
    Sinks.Many<PeerFrame> sink =
        Sinks.many()
            .unicast()
            .onBackpressureBuffer(Queues.<PeerFrame>get(MAX_WAITING_FRAMES).get());
    waiting = sink;
    Flux<PeerFrame> frames =
        sink.asFlux().timeout(IDLE_LIMIT, Flux.empty()).startWith(PeerFrames.hello(self));
    connection =
        client
            .handle((inbound, outbound) -> write(outbound, frames))
            .connect()
            .flatMap(opened -> opened.onDispose().doOnCancel(opened::dispose))
            .onErrorResume(e -> Mono.empty())
            .doFinally(signal -> closed(sink))
            .subscribe();
    return sink;
  }

  private Mono<Void> write(NettyOutbound outbound, Flux<PeerFrame> frames) {
    ByteBufAllocator allocator = outbound.alloc();
    return outbound
        .send(
            frames.map(
                frame -> {
                  traffic.sent(PeerFrames.sizeBytes(frame));
                  return PeerFrames.write(allocator, frame);
                }),
            buffer -> true)
        .then();
  }

  private void closed(Sinks.Many<PeerFrame> sink) {
    // The next offer opens a new connection; peers ask again for what they miss.
    if (waiting == sink) {
      waiting = null;
    }
  }
}
