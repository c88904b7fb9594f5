package org.ragworttide.gateway.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on a connection to an upstream.
 *
 * <p>Invariant: bytes that are received while no response is expected are discarded and reported as
 * an exception; they never become a part of a later response. Confined to the event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEADER_BYTES = 16_384;

  private boolean expecting;
  private boolean headRequest;

  ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_HEADER_BYTES));
  }

  /** Expects the response to a request with the method. */
  void expectResponse(HttpMethod method) {
    expecting = true;
    headRequest = method.equals(HttpMethod.HEAD);
  }

  /** Expects no response until the next request. */
  void endResponse() {
    expecting = false;
  }

  /** Returns whether bytes have been received that belong to no complete message. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (expecting) {
      super.channelRead(ctx, message);
    } else {
      ReferenceCountUtil.release(message);
      ctx.fireExceptionCaught(
          new CorruptedFrameException("bytes received without a request in flight"));
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    HttpResponseStatus status = ((HttpResponse) message).status();
    boolean isFinal = status.codeClass() != HttpStatusClass.INFORMATIONAL;
    return headRequest && isFinal || super.isContentAlwaysEmpty(message);
  }
}
