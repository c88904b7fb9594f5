package org.ragworttide.daemon.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * HTTP client that sends requests to upstreams, each at most once.
 *
 * <p>Invariants: a subscription sends the request at most once and follows no redirect; a
 * non-idempotent request uses a new connection, because a pooled one may just have been closed by
 * the upstream. Bytes that belong to no request close their connection, and a response without a
 * length is complete only once the upstream has ended it. Cancelling closes the connection. Safe
 * for use by any thread.
 */
public final class UpstreamClient {
  private static final Set<HttpMethod> BODY_METHODS =
      Set.of(HttpMethod.POST, HttpMethod.PUT, HttpMethod.PATCH);

  private final ConnectionProvider connections;
  private final HttpClient pooled;
  private final HttpClient unpooled;

  /**
   * Creates a client, which opens connections as needed.
   *
   * @param settings the limits of the client
   * @param tls the TLS context that verifies upstreams, empty for plain connections
   */
  public UpstreamClient(UpstreamSettings settings, Optional<SslContext> tls) {
    this.connections =
        ConnectionProvider.builder("upstream")
            .maxConnections(settings.maxConnections())
            .maxIdleTime(Duration.ofMillis(settings.maxIdleMillis()))
            .build();
    this.pooled = configure(HttpClient.create(connections), settings, tls);
    this.unpooled = configure(HttpClient.newConnection(), settings, tls).keepAlive(false);
  }

  private static HttpClient configure(
      HttpClient client, UpstreamSettings settings, Optional<SslContext> tls) {
    HttpClient secured =
        tls.map(context -> client.secure(spec -> spec.sslContext(context))).orElse(client);
    return ResponseGuard.guard(secured)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
        .disableRetry(true)
        .followRedirect(false);
  }

  /**
   * Sends the request once subscribed, if the gate permits it.
   *
   * @param address the address on which the upstream listens
   * @param request the request to send
   * @param gate queried once the connection is established, right before the first byte is written
   */
  public Flux<UpstreamEvent> send(
      InetSocketAddress address, UpstreamRequest request, SendGate gate) {
    return Flux.defer(
        () -> {
          AtomicBoolean sent = new AtomicBoolean();
          return exchange(address, request, () -> gate.enter() && sent.compareAndSet(false, true))
              .onErrorResume(error -> Mono.just(failure(sent.get(), error)));
        });
  }

  /** Closes the pooled connections. */
  public Mono<Void> close() {
    return connections.disposeLater();
  }

  private Flux<UpstreamEvent> exchange(
      InetSocketAddress address, UpstreamRequest request, SendGate gate) {
    HttpClient client = request.idempotent() ? pooled : unpooled;
    return client
        .remoteAddress(() -> address)
        .headers(headers -> setHeaders(headers, request))
        .request(request.method())
        .uri(request.target())
        .send((unused, outbound) -> write(outbound, request, gate))
        .response(UpstreamClient::events);
  }

  private static Publisher<Void> write(
      NettyOutbound outbound, UpstreamRequest request, SendGate gate) {
    if (!gate.enter()) {
      return Mono.error(new GateClosedException());
    }
    if (request.body().length == 0) {
      return outbound;
    }
    return outbound.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(request.body())));
  }

  private static void setHeaders(HttpHeaders headers, UpstreamRequest request) {
    headers.remove(HttpHeaderNames.USER_AGENT).remove(HttpHeaderNames.ACCEPT);
    headers.add(request.headers());
    if (request.body().length > 0 || BODY_METHODS.contains(request.method())) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
  }

  private static Flux<UpstreamEvent> events(HttpClientResponse response, ByteBufFlux body) {
    UpstreamEvent head =
        new UpstreamEvent.Head(response.status().code(), response.responseHeaders().copy());
    return Flux.concat(Mono.just(head), body.asByteArray().map(UpstreamEvent.Chunk::new));
  }

  private static UpstreamEvent failure(boolean sent, Throwable error) {
    String reason = error.getClass().getSimpleName();
    return sent ? new UpstreamEvent.Lost(reason) : new UpstreamEvent.NotSent(reason);
  }

  private static final class GateClosedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    GateClosedException() {
      super("the send gate refused the request before it was sent", null, false, false);
    }
  }
}
