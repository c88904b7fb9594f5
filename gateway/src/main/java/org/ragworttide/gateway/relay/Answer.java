package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.ragworttide.daemon.relay.HeaderFilter;

/**
 * An answer on its way to the caller. A short plain answer is held until it is whole, so that a
 * truncated one can be replaced; a stream leaves event by event.
 *
 * <p>Invariant: the caller gets the head of one upstream and whole events only. Confined to the
 * event loop.
 */
final class Answer {
  /** Bytes of a plain answer that are held; a longer one leaves as it arrives. */
  private static final int HELD_BYTES = 256 * 1_024;

  private final CallerPort caller;
  private final HttpMethod method;
  private final CompositeByteBuf held;
  private final EventSplitter events;
  private HttpResponse head;
  private boolean stream;
  private boolean begun;
  private boolean released;

  Answer(CallerPort caller, HttpMethod method) {
    this.caller = caller;
    this.method = method;
    this.held = ByteBufAllocator.DEFAULT.compositeBuffer();
    this.events = new EventSplitter(ByteBufAllocator.DEFAULT);
  }

  /** Tells whether the caller has seen a part of the answer. */
  boolean isBegun() {
    return begun;
  }

  Optional<String> lastEventId() {
    return events.lastId();
  }

  HttpResponse head() {
    return head;
  }

  /** Takes the head of an upstream's answer; that of a continued stream is not passed on. */
  void head(HttpResponse received, boolean asStream) {
    if (!begun) {
      head = received;
      stream = asStream && received.status().codeClass() == HttpStatusClass.SUCCESS;
    }
  }

  /** Takes a piece of the body. */
  void add(ByteBuf piece) {
    if (stream) {
      events.add(piece);
      sendBody(events.takeEvents());
    } else if (begun) {
      sendBody(piece);
    } else {
      held.addComponent(true, piece);
      if (held.readableBytes() > HELD_BYTES) {
        sendBody(held.readRetainedSlice(held.readableBytes()));
      }
    }
  }

  /** Ends the answer; tells whether it was whole. */
  boolean end() {
    if (stream && events.holdsPart()) {
      return false;
    }
    if (begun) {
      caller.end();
    } else {
      caller.respond(whole());
    }
    return true;
  }

  /** Forgets what of a failed run has not been passed on. */
  void reset() {
    events.dropPart();
    held.skipBytes(held.readableBytes());
    held.discardReadComponents();
  }

  void release() {
    if (!released) {
      released = true;
      held.release();
      events.release();
    }
  }

  private void sendBody(ByteBuf piece) {
    if (!piece.isReadable()) {
      piece.release();
      return;
    }
    if (!begun) {
      begun = true;
      HttpResponse first =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1, head.status(), HeaderFilter.toCaller(head.headers()));
      first.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      caller.begin(first);
    }
    caller.send(piece);
  }

  private FullHttpResponse whole() {
    HttpHeaders headers = HeaderFilter.toCaller(head.headers());
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            head.status(),
            held.readRetainedSlice(held.readableBytes()),
            headers,
            HttpHeaders.EMPTY_HEADERS.copy());
    if (method.equals(HttpMethod.HEAD)) {
      copyLength(head.headers(), headers);
    } else {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    }
    return response;
  }

  private static void copyLength(HttpHeaders from, HttpHeaders to) {
    String length = from.get(HttpHeaderNames.CONTENT_LENGTH);
    if (length != null) {
      to.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
  }
}
