package org.ragworttide.daemon.upstream;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;

/**
 * Tells the decoder of a pooled connection when a response is expected, and closes the connection
 * if bytes follow a response or the upstream has ended its side.
 *
 * <p>Invariant: an interim response is never passed on, since the HTTP client would take it for the
 * final one. Confined to the event loop of the connection.
 */
public final class ResponseGuard extends ChannelDuplexHandler {
  private static final String NAME = "responseGuard";

  /** Interim responses that are skipped while one response is awaited; upstreams send none. */
  private static final int MAX_INTERIM_RESPONSES = 16;

  private final ResponseDecoder decoder;
  private boolean interim;
  private int interimResponses;

  private ResponseGuard(ResponseDecoder decoder) {
    this.decoder = decoder;
  }

  /** Returns the client with guarded connections. */
  public static HttpClient guard(HttpClient client) {
    return client
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .doOnChannelInit((observer, channel, address) -> install(channel.pipeline()));
  }

  /** Replaces the HTTP codec of a new connection by one that is guarded. */
  private static void install(ChannelPipeline pipeline) {
    ResponseDecoder decoder = new ResponseDecoder();
    pipeline.replace(
        NettyPipeline.HttpCodec,
        NettyPipeline.HttpCodec,
        new CombinedChannelDuplexHandler<>(decoder, new HttpRequestEncoder()));
    pipeline.addAfter(NettyPipeline.HttpCodec, NAME, new ResponseGuard(decoder));
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request) {
      decoder.expectResponse(request.method());
      interim = false;
      interimResponses = 0;
    }
    ChannelPromise written = promise.unvoid();
    if (message instanceof LastHttpContent) {
      written.addListener(
          done -> {
            if (done.isSuccess()) {
              decoder.recordRequestSent();
            }
          });
    }
    ctx.write(message, written);
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (message instanceof HttpResponse response) {
      interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      interimResponses += interim ? 1 : 0;
    }
    if (interim) {
      skipInterim(ctx, message);
      return;
    }
    boolean ended = message instanceof LastHttpContent;
    if (ended) {
      decoder.endResponse();
    }
    boolean trailing = ended && decoder.hasUndecodedBytes();
    ctx.fireChannelRead(message);
    if (trailing) {
      ctx.close();
    }
  }

  private void skipInterim(ChannelHandlerContext ctx, Object message) {
    boolean switches =
        message instanceof HttpResponse response
            && response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    ReferenceCountUtil.release(message);
    if (switches) {
      exceptionCaught(ctx, new CorruptedFrameException("unrequested switch of protocols"));
    } else if (interimResponses > MAX_INTERIM_RESPONSES) {
      String reason = "more than " + MAX_INTERIM_RESPONSES + " interim responses";
      exceptionCaught(ctx, new CorruptedFrameException(reason));
    } else {
      ctx.read();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.fireExceptionCaught(cause);
    ctx.close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    ctx.fireUserEventTriggered(event);
    if (event instanceof ChannelInputShutdownEvent) {
      ctx.close();
    }
  }
}
