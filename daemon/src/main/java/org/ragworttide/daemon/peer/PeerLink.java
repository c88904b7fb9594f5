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
 * Sends frames to one peer over one connection, which it opens on demand.
 *
 * <p>Invariants: frames are sent in the order offered; a frame is written at most once; the queue
 * of frames for an unreachable peer is bounded, and dropped when the connection attempt fails.
 * Frames are offered on the coordination thread only.
 */
final class PeerLink implements Disposable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_QUEUED_FRAMES = 4_096;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private final TcpClient client;
  private final PeerIdentity self;
  private final PeerTraffic traffic;
  private volatile Sinks.Many<PeerFrame> queue;
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
    Sinks.Many<PeerFrame> sink = queue;
    if (sink == null) {
      sink = open();
    }
    if (sink.tryEmitNext(frame).isFailure()) {
      traffic.droppedFrames.inc();
    }
  }

  @Override
  public void dispose() {
    Sinks.Many<PeerFrame> sink = queue;
    if (sink != null) {
      sink.tryEmitComplete();
    }
  }

  /**
   * Closes the connection immediately and drops its queued frames; the next offer opens another
   * one.
   */
  void reset() {
    dispose();
    queue = null;
    connection.dispose();
  }

  private Sinks.Many<PeerFrame> open() {
    Sinks.Many<PeerFrame> sink =
        Sinks.many().unicast().onBackpressureBuffer(Queues.<PeerFrame>get(MAX_QUEUED_FRAMES).get());
    queue = sink;
    Flux<PeerFrame> frames =
        sink.asFlux().timeout(IDLE_TIMEOUT, Flux.empty()).startWith(PeerFrames.hello(self));
    connection =
        client
            .handle((inbound, outbound) -> write(outbound, frames))
            .connect()
            .flatMap(opened -> opened.onDispose().doOnCancel(opened::dispose))
            .onErrorResume(e -> Mono.empty())
            .doFinally(signal -> clearQueue(sink))
            .subscribe();
    return sink;
  }

  private Mono<Void> write(NettyOutbound outbound, Flux<PeerFrame> frames) {
    ByteBufAllocator allocator = outbound.alloc();
    return outbound
        .send(
            frames.map(
                frame -> {
                  traffic.recordSent(PeerFrames.sizeBytes(frame));
                  return PeerFrames.write(allocator, frame);
                }),
            buffer -> true)
        .then();
  }

  private void clearQueue(Sinks.Many<PeerFrame> sink) {
    // The next offer opens a new connection; peers request lost messages again.
    if (queue == sink) {
      queue = null;
    }
  }
}
