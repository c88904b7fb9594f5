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
import org.ragworttide.coordination.streams.EventId;
import org.ragworttide.daemon.relay.HeaderFilter;

/**
 * Passes a response on to the caller. A short response that is not a stream is buffered until it is
 * complete, so that a truncated one can be replaced; a stream is passed on event by event.
 *
 * <p>Invariant: the caller receives the status and headers of one upstream only and, of a stream,
 * complete events only, of which none comes again in what another upstream continues. Confined to
 * the event loop.
 */
final class CallerResponse {
  /** Largest response that is buffered; a longer one is passed on as it arrives. */
  private static final int MAX_BUFFERED_BYTES = 256 * 1_024;

  private final ResponseWriter caller;
  private final HttpMethod method;
  private final Runnable beforeBegin;
  private final CompositeByteBuf buffered;
  private final EventSplitter events;
  private HttpResponse head;
  private boolean stream;
  private boolean begun;
  private boolean released;

  /**
   * Creates a response that has not begun.
   *
   * @param beforeBegin runs before the first part of a response that is passed on as it arrives
   */
  CallerResponse(ResponseWriter caller, HttpMethod method, Runnable beforeBegin) {
    this.caller = caller;
    this.method = method;
    this.beforeBegin = beforeBegin;
    this.buffered = ByteBufAllocator.DEFAULT.compositeBuffer();
    this.events = new EventSplitter(ByteBufAllocator.DEFAULT);
  }

  /** Returns whether a part of the response has been sent to the caller. */
  boolean isBegun() {
    return begun;
  }

  Optional<EventId> lastEventId() {
    return events.lastId();
  }

  /** Expects a stream that goes on after an event that the caller has received earlier. */
  void continueAfter(EventId last) {
    events.continueAfter(last);
  }

  HttpResponse head() {
    return head;
  }

  /**
   * Sets the status and headers of an upstream's response. They are ignored if a part of an earlier
   * attempt's response has been sent to the caller.
   */
  void setHead(HttpResponse received, boolean asStream) {
    if (!begun) {
      head = received;
      stream = asStream && received.status().codeClass() == HttpStatusClass.SUCCESS;
    }
  }

  /** Adds a chunk of the body; returns the reason if its stream cannot go on with it. */
  Optional<String> add(ByteBuf chunk) {
    if (stream) {
      events.add(chunk);
      sendBody(events.takeEvents());
      return streamError();
    }
    if (begun) {
      sendBody(chunk);
    } else {
      buffered.addComponent(true, chunk);
      if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
        sendBody(buffered.readRetainedSlice(buffered.readableBytes()));
      }
    }
    return Optional.empty();
  }

  private Optional<String> streamError() {
    if (events.isOutOfOrder()) {
      return Optional.of("event does not follow the last one of the stream");
    }
    return events.isEventTooLong()
        ? Optional.of("no event within " + EventSplitter.MAX_EVENT_BYTES + " bytes")
        : Optional.empty();
  }

  /**
   * Completes the response, unless the stream ended within an event; returns whether it is
   * complete.
   */
  boolean end() {
    if (stream && events.hasPartialEvent()) {
      return false;
    }
    if (begun) {
      caller.end();
    } else {
      caller.respond(completeResponse());
    }
    return true;
  }

  /** Discards the part of a failed attempt that has not been sent to the caller. */
  void reset() {
    events.discardPartialEvent();
    buffered.skipBytes(buffered.readableBytes());
    buffered.discardReadComponents();
  }

  void release() {
    if (!released) {
      released = true;
      buffered.release();
      events.release();
    }
  }

  private void sendBody(ByteBuf chunk) {
    if (!chunk.isReadable()) {
      chunk.release();
      return;
    }
    if (!begun) {
      beforeBegin.run();
      begun = true;
      HttpResponse first =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1, head.status(), HeaderFilter.toCaller(head.headers()));
      first.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      caller.begin(first);
    }
    caller.send(chunk);
  }

  private FullHttpResponse completeResponse() {
    HttpHeaders headers = HeaderFilter.toCaller(head.headers());
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            head.status(),
            buffered.readRetainedSlice(buffered.readableBytes()),
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
