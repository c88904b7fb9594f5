package org.ragworttide.daemon.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * Decodes the responses on a connection to an upstream.
 *
 * <p>Invariants: bytes that are received while no response is expected are discarded and reported
 * as an exception; they never become a part of a later response. A head that contains the head of
 * another response, or whose first line has no status from 100 to 599, is passed on as a decoding
 * failure. A response without a length is complete only once the upstream has ended its side of the
 * connection; a connection that is closed in any other way ends it incomplete. The channel must
 * allow half-closure, which tells the two apart. Confined to the event loop.
 */
public final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_HEADER_BYTES = 16_384;

  private boolean expecting;
  private boolean headRequest;
  private boolean requestSent;
  private boolean inputEnded;

  /** Creates a decoder that expects no response yet. */
  public ResponseDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_HEADER_BYTES));
  }

  /** Expects the response to a request with the method. */
  public void expectResponse(HttpMethod method) {
    expecting = true;
    requestSent = false;
    headRequest = method.equals(HttpMethod.HEAD);
  }

  /** Records that the whole request has been written. */
  public void recordRequestSent() {
    requestSent = true;
  }

  /** Expects no response until the next request. */
  public void endResponse() {
    expecting = false;
  }

  /** Returns whether bytes have been received that belong to no complete message. */
  public boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns whether the upstream has ended its side of the connection. */
  public boolean isInputEnded() {
    return inputEnded;
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
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    inputEnded |= event instanceof ChannelInputShutdownEvent;
    super.userEventTriggered(ctx, event);
  }

  /** Rejects a first line whose status is none, which the decoder would read as any number. */
  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    ResponseFraming.statusLineError(initialLine)
        .ifPresent(
            error -> {
              throw new CorruptedFrameException(error);
            });
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    int decoded = out.size();
    super.decode(ctx, in, out);
    for (Object message : out.subList(decoded, out.size())) {
      if (message instanceof HttpResponse response && response.decoderResult().isSuccess()) {
        ResponseFraming.error(response)
            .map(CorruptedFrameException::new)
            .ifPresent(error -> response.setDecoderResult(DecoderResult.failure(error)));
      }
    }
  }

  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws Exception {
    if (inputEnded && requestSent && isAcknowledged(ctx.channel())) {
      super.decodeLast(ctx, in, out);
    }
  }

  /**
   * Returns whether the upstream's system has acknowledged all sent bytes. One that ends its side
   * earlier has not read the request, and resets the connection when the rest arrives.
   */
  public static boolean isAcknowledged(Channel channel) {
    if (!(channel instanceof EpollSocketChannel socket) || !socket.isOpen()) {
      return true;
    }
    try {
      return socket.tcpInfo().unacked() == 0;
    } catch (ChannelException e) {
      EventLog.log(LogEvent.CONNECTION_STATE_UNKNOWN, channel.remoteAddress(), e.getMessage());
      return true;
    }
  }

  /**
   * Returns the milliseconds since the upstream's system last acknowledged anything, 0 if it has
   * acknowledged all sent bytes.
   */
  public static long unacknowledgedMillis(Channel channel) {
    if (!(channel instanceof EpollSocketChannel socket) || !socket.isOpen()) {
      return 0;
    }
    try {
      EpollTcpInfo info = socket.tcpInfo();
      return info.unacked() == 0 ? 0 : info.lastAckRecv();
    } catch (ChannelException e) {
      EventLog.log(LogEvent.CONNECTION_STATE_UNKNOWN, channel.remoteAddress(), e.getMessage());
      return 0;
    }
  }

  /** Rejects a line without a colon after its name, of which the decoder would drop the rest. */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    int end = start + length;
    while (end < line.length && (line[end] == ' ' || line[end] == '\t')) {
      end++;
    }
    if (end == line.length || line[end] != ':') {
      throw new IllegalArgumentException("line of a head without a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    HttpResponseStatus status = ((HttpResponse) message).status();
    boolean isFinal = status.codeClass() != HttpStatusClass.INFORMATIONAL;
    return headRequest && isFinal || super.isContentAlwaysEmpty(message);
  }
}
