package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.ragworttide.coordination.streams.EventId;

/**
 * Splits a stream of server-sent events into complete events and keeps the id of the last one.
 *
 * <p>Invariants: the returned bytes end at the end of an event, so a stream that is interrupted in
 * the middle of an event can be continued; events of a continuation are returned only while their
 * ids follow the last one; only the incomplete event is kept, however long the stream is. Confined
 * to one thread.
 */
final class EventSplitter {
  /** Largest incomplete event: a thousand times a usual one. */
  static final int MAX_EVENT_BYTES = 256 * 1_024;

  private static final String ID_FIELD = "id:";
  private static final String DATA_FIELD = "data";
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private final ByteBufAllocator allocator;
  private ByteBuf pending;
  private int scanned;
  private boolean lineEmpty = true;
  private Optional<EventId> lastId = Optional.empty();

  /** The id that the next event has to follow, empty unless the stream is being continued. */
  private Optional<EventId> continuedAfter = Optional.empty();

  private boolean outOfOrder;

  EventSplitter(ByteBufAllocator allocator) {
    this.allocator = allocator;
    this.pending = allocator.buffer();
  }

  /** Adds a chunk of the stream and releases it. */
  void add(ByteBuf chunk) {
    pending.writeBytes(chunk);
    chunk.release();
  }

  /** Expects a continuation of a stream of which the event with the id was received elsewhere. */
  void continueAfter(EventId last) {
    continuedAfter = Optional.of(last);
  }

  /**
   * Removes and returns all complete events; the returned buffer, which the caller owns, is empty
   * if there is none, or if one of them does not follow.
   */
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
    if (end == 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    // The returned events may wait to be written, so the incomplete event moves to another buffer.
    ByteBuf events = pending;
    pending = allocator.buffer();
    pending.writeBytes(events, events.readerIndex() + end, scanned);
    events.writerIndex(events.readerIndex() + end);
    recordIds(events);
    if (outOfOrder) {
      events.release();
      return Unpooled.EMPTY_BUFFER;
    }
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

  /** Returns whether an event of a continuation does not follow the last one. */
  boolean isOutOfOrder() {
    return outOfOrder;
  }

  /** Discards the incomplete event, which the next attempt sends again. */
  void discardPartialEvent() {
    pending.clear();
    scanned = 0;
    lineEmpty = true;
    outOfOrder = false;
    continuedAfter = lastId.or(() -> continuedAfter);
  }

  /**
   * Returns the id of the last complete event, empty if there is none or if it has no id by which
   * an upstream could go on after it.
   */
  Optional<EventId> lastId() {
    return lastId;
  }

  void release() {
    pending.release();
  }

  private void recordIds(ByteBuf events) {
    Optional<EventId> last = lastId;
    Optional<EventId> precedes = continuedAfter;
    Optional<EventId> id = Optional.empty();
    boolean hasData = false;
    for (String line : events.toString(StandardCharsets.UTF_8).split("\r?\n", -1)) {
      if (line.startsWith(ID_FIELD)) {
        id = Optional.of(new EventId(line.substring(ID_FIELD.length()).strip()));
      } else if (line.startsWith(DATA_FIELD)) {
        hasData = true;
      } else if (line.isEmpty()) {
        if (id.isPresent() && precedes.isPresent()) {
          outOfOrder |= !id.get().mayFollow(precedes.get());
          precedes = id;
        }
        last = id.isPresent() || hasData ? id.filter(EventId::isNameable) : last;
        id = Optional.empty();
        hasData = false;
      }
    }
    if (!outOfOrder) {
      lastId = last;
      continuedAfter = precedes;
    }
  }
}
