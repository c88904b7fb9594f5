package org.ragworttide.daemon.caller;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.UUID;
import org.ragworttide.daemon.decision.RequestId;
import org.ragworttide.daemon.relay.Problem;
import org.ragworttide.daemon.relay.ProblemCode;
import org.ragworttide.daemon.relay.ProblemJson;
import reactor.netty.NettyPipeline;

/**
 * Channel handler that answers a head that can't be decoded, or does not arrive in time, with a
 * refusal in problem JSON and closes the connection.
 *
 * <p>Invariant: the handler never writes between the parts of another answer. Each connection has
 * its own instance, used only by its event loop.
 */
final class DecodingErrorHandler extends ChannelDuplexHandler {
  private final HeadTimeout headTimeout;
  private ChannelHandlerContext context;
  private int unanswered;
  private boolean refused;

  private DecodingErrorHandler(long receiveTimeoutMillis) {
    headTimeout = new HeadTimeout(receiveTimeoutMillis, this::onHeadTimeout);
  }

  /** Adds the handler, and the timeout for heads, around the HTTP codec. */
  static void addTo(ChannelPipeline pipeline, long receiveTimeoutMillis) {
    DecodingErrorHandler handler = new DecodingErrorHandler(receiveTimeoutMillis);
    pipeline.addBefore(NettyPipeline.HttpCodec, "headTimeout", handler.headTimeout);
    pipeline.addBefore(NettyPipeline.HttpTrafficHandler, "decodingRefusal", handler);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (refused) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request) {
      headTimeout.stopWaitingForHead();
      if (request.decoderResult().isFailure() && unanswered == 0) {
        Problem problem = problem(request.decoderResult().cause());
        ReferenceCountUtil.release(message);
        refuse(problem);
        return;
      }
      unanswered++;
    }
    if (message instanceof LastHttpContent) {
      headTimeout.onRequestReceived();
    }
    ctx.fireChannelRead(message);
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (message instanceof LastHttpContent) {
      unanswered--;
    }
    ctx.write(message, promise);
  }

  private static Problem problem(Throwable cause) {
    return switch (cause) {
      case TooLongHttpLineException tooLong ->
          Problem.notRun(ProblemCode.TARGET_TOO_LONG, "the request line is too long");
      case TooLongHttpHeaderException tooLarge ->
          Problem.notRun(ProblemCode.HEADERS_TOO_LARGE, "the headers are too large");
      default -> Problem.notRun(ProblemCode.BAD_REQUEST, "the request is not valid HTTP");
    };
  }

  private void onHeadTimeout() {
    if (unanswered == 0 && !refused) {
      refuse(Problem.notRun(ProblemCode.REQUEST_TIMEOUT, "the head did not arrive in time"));
    } else {
      context.close();
    }
  }

  private void refuse(Problem problem) {
    refused = true;
    RequestId id = new RequestId(UUID.randomUUID().toString());
    byte[] body = ProblemJson.body(problem, id);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(problem.code().status()),
            Unpooled.wrappedBuffer(body));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, ProblemJson.CONTENT_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        .set(AnswerWriter.REQUEST_ID, id.value());
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
