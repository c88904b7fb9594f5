package org.ragworttide.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a series of events into whole events and keeps the id of the last one.
 *
 * <p>Invariant: what it hands out ends at an event's end, so a stream that breaks off in the middle
 * of an event can be continued. Confined to one thread.
 */
final class EventSplitter {
  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';

  private final ByteBuf pending;
  private int scanned;
  private boolean lineEmpty = true;
  private Optional<String> lastId = Optional.empty();

  EventSplitter(ByteBufAllocator allocator) {
    this.pending = allocator.buffer();
  }

  /** Takes a piece of the stream and releases it. */
  void add(ByteBuf piece) {
    pending.writeBytes(piece);
    piece.release();
  }

  /** Returns all whole events that are in, an empty buffer if there is none. */
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
    noteIds(events);
    return events;
  }

  /** Returns whether bytes of an unfinished event are held. */
  boolean holdsPart() {
    return pending.isReadable();
  }

  /** Forgets the unfinished event, which a new run sends again. */
  void dropPart() {
    pending.clear();
    scanned = 0;
    lineEmpty = true;
  }

  /** Returns the id of the last whole event, empty if none had one. */
  Optional<String> lastId() {
    return lastId;
  }

  void release() {
    pending.release();
  }

  private void noteIds(ByteBuf events) {
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
