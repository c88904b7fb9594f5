package org.ragworttide.daemon.upstream;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import reactor.netty.NettyPipeline;

/**
 * Tells the decoder of a pooled connection when a response is expected, and closes the connection
 * if bytes follow a response or the upstream has ended its side.
 *
 * <p>Confined to the event loop of the connection.
 */
final class ResponseGuard extends ChannelDuplexHandler {
  private static final String NAME = "responseGuard";

  private final ResponseDecoder decoder;
  private boolean interim;

  private ResponseGuard(ResponseDecoder decoder) {
    this.decoder = decoder;
  }

  /** Replaces the HTTP codec of a new connection by one that is guarded. */
  static void install(ChannelPipeline pipeline) {
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
    }
    boolean ended = message instanceof LastHttpContent && !interim;
    if (ended) {
      decoder.endResponse();
    }
    boolean trailing = ended && decoder.hasUndecodedBytes();
    ctx.fireChannelRead(message);
    if (trailing) {
      ctx.close();
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
