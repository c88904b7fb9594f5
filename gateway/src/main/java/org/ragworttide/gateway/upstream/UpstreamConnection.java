package org.ragworttide.gateway.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import org.ragworttide.gateway.Dialect;
import org.ragworttide.gateway.relay.AnswerHead;

/**
 * A connection to an upstream, which carries one request at a time.
 *
 * <p>Invariant: an answer reaches the listener only if it names the listener's request; an answer
 * to another request is skipped whole, and bytes that no request waits for close the connection.
 * Confined to the event loop.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /** Share of the upstream's idle timeout after which the connection is not used again. */
  private static final double IDLE_SHARE = 0.7;

  /** Idle milliseconds where the upstream states no timeout: it may be under a second. */
  private static final long UNSTATED_IDLE_MILLIS = 400;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Upstream upstream;
  private final Dialect dialect;
  private final java.util.function.LongSupplier clock;
  private Channel channel;
  private AttemptListener listener;
  private String requestId = "";
  private boolean skipping;
  private boolean detached;
  private boolean keepAlive;
  private boolean broken;
  private boolean bodySent;
  private long idleMillis = UNSTATED_IDLE_MILLIS;
  private long idleSinceMillis;

  UpstreamConnection(Upstream upstream, Dialect dialect, java.util.function.LongSupplier clock) {
    this.upstream = upstream;
    this.dialect = dialect;
    this.clock = clock;
  }

  /** Sends a request whose answer goes to the listener; the connection must be idle. */
  public void send(FullHttpRequest request, String id, AttemptListener to) {
    if (listener != null) {
      throw new IllegalStateException("a request is in flight on this connection");
    }
    listener = to;
    requestId = id;
    skipping = false;
    detached = false;
    bodySent = false;
    channel.writeAndFlush(request).addListener(done -> bodySent = done.isSuccess());
  }

  /** Stops reading until the caller has room, or reads on. */
  public void reading(boolean enabled) {
    channel.config().setAutoRead(enabled);
  }

  /** Gives the request up and closes the connection, so that the upstream stops its work. */
  public void cancel() {
    listener = null;
    close();
  }

  /** Gives up the answer but lets the upstream finish. */
  public void detach() {
    detached = true;
  }

  void close() {
    channel.close();
  }

  boolean isReusable(long nowMillis) {
    return channel.isActive() && nowMillis - idleSinceMillis < idleMillis;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (listener == null || broken) {
        fail("unexpected bytes");
      } else if (message instanceof HttpResponse response) {
        head(response);
      }
      if (listener != null && message instanceof HttpContent content) {
        content(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void head(HttpResponse response) {
    if (response.decoderResult().isFailure()) {
      fail("answer is not HTTP");
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipping = true;
      return;
    }
    AnswerHead head = dialect.readAnswer(response);
    boolean unnamed = head.requestId().isEmpty() && head.notRun();
    skipping = !head.requestId().equals(requestId) && !unnamed;
    if (skipping) {
      return;
    }
    keepAlive = HttpUtil.isKeepAlive(response);
    idleMillis = statedIdleMillis(response);
    if (!detached) {
      listener.answered(response, head);
    }
  }

  private void content(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      fail("body is not HTTP");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    AttemptListener to = listener;
    if (content.content().isReadable() && !detached) {
      to.received(content.content().retain());
    }
    if (last && listener == to) {
      finish(to);
    }
  }

  private void finish(AttemptListener to) {
    listener = null;
    requestId = "";
    idleSinceMillis = clock.getAsLong();
    channel.config().setAutoRead(true);
    if (keepAlive && bodySent && channel.isActive()) {
      upstream.putIdle(this);
    } else if (bodySent || !channel.isActive()) {
      close();
    } else {
      channel
          .writeAndFlush(io.netty.buffer.Unpooled.EMPTY_BUFFER)
          .addListener(ChannelFutureListener.CLOSE);
    }
    if (!detached) {
      to.ended();
    }
  }

  private void fail(String reason) {
    broken = true;
    upstream.dropIdle(this);
    channel.close();
    AttemptListener to = listener;
    listener = null;
    if (to != null && !detached) {
      to.broken(reason);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail("connection failed: " + cause.getClass().getSimpleName());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail("connection closed");
  }

  private static long statedIdleMillis(HttpResponse response) {
    String value = response.headers().get("Keep-Alive", "");
    for (String part : value.toLowerCase(Locale.ROOT).split(",")) {
      String[] pair = part.strip().split("=", 2);
      if (pair.length == 2 && pair[0].equals("timeout") && pair[1].matches("\\d{1,6}")) {
        return (long) (Integer.parseInt(pair[1]) * MILLIS_PER_SECOND * IDLE_SHARE);
      }
    }
    return UNSTATED_IDLE_MILLIS;
  }
}
