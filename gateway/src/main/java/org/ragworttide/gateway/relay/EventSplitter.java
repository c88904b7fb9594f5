package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events and keeps the id of the last one.
 *
 * <p>Invariant: the returned bytes end at the end of an event, so a stream that is interrupted in
 * the middle of an event can be continued. Confined to one thread.
 */
final class EventSplitter {
  /** Largest incomplete event: a thousand times a usual one. */
  static final int MAX_EVENT_BYTES = 256 * 1_024;

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private final ByteBuf pending;
  private int scanned;
  private boolean lineEmpty = true;
  private Optional<String> lastId = Optional.empty();

  EventSplitter(ByteBufAllocator allocator) {
    this.pending = allocator.buffer();
  }

  /** Adds a chunk of the stream and releases it. */
  void add(ByteBuf chunk) {
    pending.writeBytes(chunk);
    chunk.release();
  }

  /** Removes and returns all complete events; the returned buffer is empty if there is none. */
  ByteBuf takeEvents() {
    int end = 0;
    int readable = pending.readableBytes();
    for (int at = scanned; at < readable; at++) {
      byte value = pending.getByte(pending.readerIndex() + at);
      if (value == LINE_FEED) {
        if (lineEmpty) {
          end = at + 1;
        }
        lineEmpty = true;
      } else if (value != CARRIAGE_RETURN) {
        lineEmpty = false;
      }
    }
    scanned = readable - end;
    ByteBuf events = pending.readRetainedSlice(end);
    recordLastId(events);
    return events;
  }

  /** Returns whether the beginning of an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }

  /** Returns whether the incomplete event is longer than any event may be. */
  boolean isEventTooLong() {
    return pending.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Discards the incomplete event, which the next attempt sends again. */
  void discardPartialEvent() {
    pending.clear();
    scanned = 0;
    lineEmpty = true;
  }

  /** Returns the id of the last complete event that had one. */
  Optional<String> lastId() {
    return lastId;
  }

  void release() {
    pending.release();
  }

  private void recordLastId(ByteBuf events) {
    if (!events.isReadable()) {
      return;
    }
    for (String line : events.toString(StandardCharsets.UTF_8).split("\r?\n")) {
      if (line.startsWith("id:")) {
        lastId = Optional.of(line.substring("id:".length()).strip());
      }
    }
  }
}
