package org.ragworttide.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.ragworttide.daemon.upstream.ResponseDecoder;
import org.ragworttide.gateway.HeaderCodec;
import org.ragworttide.gateway.relay.ResponseMetadata;

/**
 * A connection to an upstream, which carries one request at a time.
 *
 * <p>Invariant: a response reaches the listener only if it has the id of the listener's request,
 * which may be none, or if it has no id and reports that the request has not run. A response to
 * another request is skipped completely. Once a refusal with an id has been received, one without
 * is damaged and ends the connection. A connection is reused only while each response on it can be
 * attributed to one request: bytes that belong to no request end its use, at once if no request is
 * in flight, otherwise with the response, and so does a response without an id. Confined to the
 * event loop.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /** Share of the upstream's idle timeout after which the connection is not reused. */
  private static final double IDLE_TIMEOUT_SHARE = 0.7;

  /**
   * Idle time after which a connection is not reused if the upstream states no idle timeout; the
   * actual timeout may then be under a second.
   */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 400;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Bytes of other responses that are skipped while one response is awaited: several responses of
   * plain services. An upstream in trouble may send bytes without end.
   */
  private static final long MAX_SKIPPED_BYTES = 256 * 1_024;

  /** Interim responses that are skipped while one response is awaited; upstreams send none. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** Milliseconds beyond its deadline in which an upstream may end an abandoned response. */
  private static final long DETACHED_MILLIS = 1_000;

  /** Longest time for which an abandoned response is awaited if its request has no deadline. */
  private static final long MAX_DETACHED_MILLIS = 60_000;

  /**
   * Milliseconds without an acknowledgement after which a request is given up: less than the
   * connection's own timeout, since no part of it has arrived for all that is known.
   */
  private static final long UNACKNOWLEDGED_TIMEOUT_MILLIS = 2_000;

  private final Upstream upstream;
  private final HeaderCodec headerCodec;
  private final ForeignBytesListener foreignBytes;
  private final java.util.function.LongSupplier clock;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private Channel channel;
  private AttemptListener listener;
  private String requestId = "";
  private boolean skipping;
  private boolean attributable = true;
  private boolean refusalsHaveIds;
  private boolean detached;
  private boolean tunnelled;
  private LongConsumer carriedPause = millis -> {};
  private boolean keepAlive;
  private boolean failed;
  private boolean bodySent;
  private long skippedBytes;
  private int interimResponses;
  private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
  private long idleSinceMillis;

  UpstreamConnection(
      Upstream upstream,
      HeaderCodec headerCodec,
      ForeignBytesListener foreignBytes,
      java.util.function.LongSupplier clock) {
    this.upstream = upstream;
    this.headerCodec = headerCodec;
    this.foreignBytes = foreignBytes;
    this.clock = clock;
  }

  /** Adds the connection and its HTTP codec to the pipeline of its channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new HttpRequestEncoder(), decoder, this);
  }

  /** Sends a request and passes its response to the listener; the connection must be idle. */
  public void send(FullHttpRequest request, String id, AttemptListener receiver) {
    if (listener != null) {
      throw new IllegalStateException("a request is in flight on this connection");
    }
    listener = receiver;
    requestId = id;
    skipping = false;
    detached = false;
    bodySent = false;
    skippedBytes = 0;
    interimResponses = 0;
    decoder.expectResponse(request.method());
    channel.writeAndFlush(request).addListener(this::recordSent);
    checkAcknowledgementAfter(UNACKNOWLEDGED_TIMEOUT_MILLIS, receiver);
  }

  private void checkAcknowledgementAfter(long delayMillis, AttemptListener receiver) {
    channel
        .eventLoop()
        .schedule(() -> checkAcknowledgement(receiver), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void checkAcknowledgement(AttemptListener receiver) {
    if (listener != receiver) {
      return;
    }
    long silentMillis = ResponseDecoder.unacknowledgedMillis(channel);
    if (silentMillis >= UNACKNOWLEDGED_TIMEOUT_MILLIS) {
      fail("request not acknowledged");
    } else if (silentMillis > 0 || !bodySent) {
      checkAcknowledgementAfter(UNACKNOWLEDGED_TIMEOUT_MILLIS - silentMillis, receiver);
    }
  }

  private void recordSent(Future<? super Void> sent) {
    bodySent = sent.isSuccess();
    if (bodySent) {
      decoder.recordRequestSent();
    } else {
      fail("request not sent completely: " + sent.cause().getClass().getSimpleName());
    }
  }

  /** Pauses or resumes reading. */
  public void setReading(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  /** Abandons the request and closes the connection, so that the upstream stops running it. */
  public void cancel() {
    listener = null;
    close();
  }

  /**
   * Ignores the response but lets the upstream complete the request, and closes the connection if
   * it has not done so soon after its deadline.
   *
   * @param remainingMillis milliseconds until the upstream's deadline
   */
  public void detach(long remainingMillis) {
    detached = true;
    AttemptListener receiver = listener;
    channel
        .eventLoop()
        .schedule(
            () -> {
              if (detached && listener == receiver) {
                close();
              }
            },
            Math.clamp(remainingMillis, 0, MAX_DETACHED_MILLIS) + DETACHED_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Records that the connection leads through another VM, which connects it for one request.
   *
   * @param pauseStated receives the milliseconds of a pause for which the upstream asks: it means
   *     the other VM too
   */
  void setTunnelled(LongConsumer pauseStated) {
    tunnelled = true;
    carriedPause = pauseStated;
  }

  /** Returns whether the connection leads through another VM. */
  public boolean isTunnelled() {
    return tunnelled;
  }

  /** Keeps the connection, which has had no request yet, for later requests. */
  public void keepIdle() {
    idleSinceMillis = clock.getAsLong();
    upstream.putIdle(this);
  }

  void close() {
    channel.close();
  }

  boolean isReusable(long nowMillis) {
    return channel.isActive() && nowMillis - idleSinceMillis < idleTimeoutMillis;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (listener == null || failed) {
        fail("unexpected response");
      } else if (message instanceof HttpResponse response) {
        handleHead(response);
      }
      if (listener != null && message instanceof HttpContent content) {
        handleContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void handleHead(HttpResponse response) {
    if (response.decoderResult().isFailure()) {
      fail(
          response.decoderResult().cause() instanceof CorruptedFrameException error
              ? error.getMessage()
              : "response is not HTTP");
      return;
    }
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      fail("unrequested switch of protocols");
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      interimResponses++;
      if (interimResponses > MAX_INTERIM_RESPONSES) {
        fail("more than " + MAX_INTERIM_RESPONSES + " interim responses");
      }
      return;
    }
    ResponseMetadata metadata = headerCodec.readResponse(response);
    boolean notRunWithoutId = metadata.requestId().isEmpty() && metadata.notRun();
    if (notRunWithoutId && refusalsHaveIds && !requestId.isEmpty()) {
      fail("refusal has lost its id");
      return;
    }
    refusalsHaveIds |= metadata.notRun();
    skipping = !metadata.requestId().equals(requestId) && !notRunWithoutId;
    if (skipping) {
      attributable = false;
      foreignBytes.responseSkipped(upstream.entry().id(), metadata.requestId(), requestId);
      return;
    }
    // Another instance that has the address answers that the request is misdirected.
    if (!response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      upstream.recordStatement(metadata.statement(), clock.getAsLong());
      metadata.statement().pauseMillis().ifPresent(carriedPause);
    }
    // A copy of a response without an id could not be told from the response to the next request.
    attributable &= !metadata.requestId().isEmpty();
    keepAlive = HttpUtil.isKeepAlive(response);
    idleTimeoutMillis = idleTimeoutMillis(response);
    if (!detached) {
      listener.responseStarted(response, metadata);
    }
  }

  private void handleContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      fail("body is not HTTP");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (skipping || detached) {
      skippedBytes += content.content().readableBytes();
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        fail("more than " + MAX_SKIPPED_BYTES + " bytes of other responses");
        return;
      }
    }
    if (skipping) {
      skipping = !last;
      return;
    }
    AttemptListener receiver = listener;
    if (content.content().isReadable() && !detached) {
      receiver.contentReceived(content.content().retain());
    }
    if (last && listener == receiver) {
      finish(receiver);
    }
  }

  private void finish(AttemptListener receiver) {
    listener = null;
    requestId = "";
    idleSinceMillis = clock.getAsLong();
    channel.config().setAutoRead(true);
    decoder.endResponse();
    boolean connected = channel.isActive() && !decoder.isInputEnded();
    boolean trailingBytes = decoder.hasUndecodedBytes();
    if (trailingBytes) {
      foreignBytes.connectionDiscarded(upstream.entry().id(), "bytes received after a response");
    }
    boolean reusable = keepAlive && attributable && !trailingBytes && !tunnelled;
    if (reusable && bodySent && connected) {
      upstream.putIdle(this);
    } else if (bodySent || !channel.isActive()) {
      close();
    } else {
      channel
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
    }
    if (!detached) {
      receiver.responseCompleted();
    }
  }

  private void fail(String reason) {
    failed = true;
    upstream.removeIdle(this);
    channel.close();
    AttemptListener receiver = listener;
    listener = null;
    if (receiver != null && !detached) {
      receiver.responseFailed(reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof CorruptedFrameException) {
      if (listener == null && !failed) {
        foreignBytes.connectionDiscarded(upstream.entry().id(), cause.getMessage());
      }
      fail(cause.getMessage());
    } else {
      fail("connection failed: " + cause.getClass().getSimpleName());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail("connection closed");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail("connection closed");
  }

  private static long idleTimeoutMillis(HttpResponse response) {
    String value = response.headers().get("Keep-Alive", "");
    for (String part : value.toLowerCase(Locale.ROOT).split(",")) {
      String[] pair = part.strip().split("=", 2);
      if (pair.length == 2 && pair[0].equals("timeout") && pair[1].matches("\\d{1,6}")) {
        return (long) (Integer.parseInt(pair[1]) * MILLIS_PER_SECOND * IDLE_TIMEOUT_SHARE);
      }
    }
    return DEFAULT_IDLE_TIMEOUT_MILLIS;
  }
}
