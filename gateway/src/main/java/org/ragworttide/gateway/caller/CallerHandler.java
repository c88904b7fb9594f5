package org.ragworttide.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.gateway.model.CallerLimits;
import org.ragworttide.gateway.relay.CallerRequest;
import org.ragworttide.gateway.relay.Exchange;
import org.ragworttide.gateway.relay.RelayContext;
import org.ragworttide.gateway.relay.ResponseWriter;

/**
 * Handles a caller's connection: receives requests one after the other and writes their responses.
 *
 * <p>Invariants: messages are processed in the order in which they arrive; the response to a
 * request is written before the next request is processed. Confined to the event loop.
 */
final class CallerHandler extends ChannelInboundHandlerAdapter implements ResponseWriter {
  /** Messages that may be queued behind a running request before reading is paused. */
  private static final int MAX_QUEUED_MESSAGES = 32;

  /** Milliseconds for which a closing connection still reads and discards what the caller sends. */
  private static final long LINGER_MILLIS = 1_000;

  private final RelayContext context;
  private final CallerConnections connections;
  private final Deque<Object> queued = new ArrayDeque<>();
  private HeadTimeoutHandler headTimeout;
  private Channel channel;
  private HttpRequest head;
  private ByteBuf body;
  private long headReceivedAtMillis;
  private Exchange exchange;
  private boolean keepAlive = true;
  private boolean closing;
  private ChannelFuture lastWrite;
  private long idleSinceMillis;

  CallerHandler(RelayContext context, CallerConnections connections) {
    this.context = context;
    this.connections = connections;
    this.idleSinceMillis = context.time().nowMillis();
  }

  HeadTimeoutHandler createHeadTimeoutHandler() {
    headTimeout =
        new HeadTimeoutHandler(
            () -> context.view().limits().headerTimeoutMillis(),
            () -> reject(HttpResponseStatus.REQUEST_TIMEOUT, "headers not received in time"));
    return headTimeout;
  }

  /** Returns whether no request is queued or being received or answered. */
  private boolean isIdle() {
    return exchange == null && head == null && queued.isEmpty() && !headTimeout.isReceiving();
  }

  /** Returns whether a part of a response waits until the caller reads. */
  boolean hasUnsentBytes() {
    return lastWrite != null && !lastWrite.isDone();
  }

  /** Ends the request that is being received or relayed, because the gateway's stop ends. */
  void endRequestAtStop() {
    if (exchange != null) {
      exchange.endAtStop();
    } else if (head != null) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "VM is stopping");
    }
  }

  /** Closes the connection if it has been idle for the given time. */
  void closeIfIdle(long nowMillis, long idleMillis) {
    if (isIdle() && nowMillis - idleSinceMillis >= idleMillis) {
      channel.close();
    }
  }

  /** Closes the connection if it has been idle for the given time and has sent all responses. */
  void closeIfUnused(long nowMillis, long idleMillis) {
    if (!hasUnsentBytes()) {
      closeIfIdle(nowMillis, idleMillis);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    connections.add(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.remove(this);
    if (exchange != null) {
      exchange.callerDisconnected();
      exchange = null;
    }
    discardRequest();
    while (!queued.isEmpty()) {
      ReferenceCountUtil.release(queued.pop());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (channel.isWritable() && exchange != null) {
      exchange.callerWritable();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
    } else if (exchange != null || !queued.isEmpty()) {
      queued.add(message);
      if (queued.size() >= MAX_QUEUED_MESSAGES) {
        channel.config().setAutoRead(false);
      }
    } else {
      process(message);
    }
  }

  private void process(Object message) {
    try {
      if (message instanceof HttpRequest request) {
        beginRequest(request);
      }
      if (!closing && head != null && message instanceof HttpContent content) {
        addContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void beginRequest(HttpRequest request) {
    headTimeout.headComplete();
    CallerLimits limits = context.view().limits();
    Optional<HttpResponseStatus> error = RequestFraming.errorStatus(request, limits.bodyBytes());
    if (error.isPresent()) {
      reject(error.get(), "framing");
      return;
    }
    head = request;
    headReceivedAtMillis = context.time().nowMillis();
    keepAlive = HttpUtil.isKeepAlive(request);
    body = channel.alloc().buffer();
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
  }

  private void addContent(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST, "body framing");
      return;
    }
    if (body.readableBytes() + content.content().readableBytes()
        > context.view().limits().bodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
      return;
    }
    // Copied, since a chunk of a few bytes would keep objects many times its size.
    body.writeBytes(content.content());
    if (content instanceof LastHttpContent) {
      start();
    }
  }

  private void start() {
    headTimeout.requestComplete();
    CallerRequest request =
        new CallerRequest(
            head, context.headerCodec().readRequest(head), body, headReceivedAtMillis);
    exchange = new Exchange(context, request, this);
    head = null;
    body = null;
    // On a VM that reads late, the caller may have left already: the end of its connection is read
    // before the task runs.
    Exchange received = exchange;
    channel
        .eventLoop()
        .execute(
            () -> {
              if (channel.isActive() && exchange == received) {
                received.start();
              }
            });
  }

  private void reject(HttpResponseStatus status, String reason) {
    if (closing || exchange != null) {
      return;
    }
    EventLog.log(LogEvent.RELAY_BAD_REQUEST, status, reason);
    discardRequest();
    keepAlive = false;
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    respond(response);
  }

  private void discardRequest() {
    head = null;
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void respond(FullHttpResponse response) {
    markConnection(response);
    finish(write(response));
  }

  @Override
  public void begin(HttpResponse response) {
    markConnection(response);
    channel.write(response);
  }

  @Override
  public void send(ByteBuf chunk) {
    write(new DefaultHttpContent(chunk));
  }

  @Override
  public void end() {
    finish(write(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void abort() {
    exchange = null;
    closing = true;
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void markConnection(HttpResponse response) {
    keepAlive = keepAlive && !connections.isStopping();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private ChannelFuture write(Object message) {
    lastWrite = channel.writeAndFlush(message);
    return lastWrite;
  }

  private void finish(ChannelFuture written) {
    exchange = null;
    idleSinceMillis = context.time().nowMillis();
    written.addListener(done -> idleSinceMillis = context.time().nowMillis());
    if (keepAlive) {
      channel.eventLoop().execute(this::processQueued);
    } else {
      closing = true;
      written.addListener(done -> lingerThenClose());
    }
  }

  private void processQueued() {
    while (exchange == null && !closing && !queued.isEmpty()) {
      process(queued.pop());
    }
    if (queued.isEmpty()) {
      channel.config().setAutoRead(true);
    }
  }

  /**
   * Closes the connection after a delay. Closing it at once, with unread bytes, would reset it, and
   * the caller could lose the response.
   */
  private void lingerThenClose() {
    if (channel instanceof io.netty.channel.socket.SocketChannel socket && socket.isActive()) {
      socket.config().setAutoRead(true);
      socket.shutdownOutput();
      channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
