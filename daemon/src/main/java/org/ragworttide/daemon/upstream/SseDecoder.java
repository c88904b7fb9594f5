package org.ragworttide.daemon.upstream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a server-sent event stream into complete events.
 *
 * <p>Lines end with LF or CRLF. Invariant: the concatenated bytes of the events equal the decoded
 * bytes up to the last blank line. Not safe for use by several threads at once.
 */
public final class SseDecoder {
  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";
  private static final String EVENT = "event:";
  private static final String ERROR = "error";

  private final int maxEventBytes;
  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private SseEvent.Kind kind = SseEvent.Kind.OTHER;
  private boolean oversized;

  /**
   * Creates a decoder at the start of a stream.
   *
   * @param maxEventBytes the largest accepted size of an event
   */
  public SseDecoder(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Decodes further bytes and returns the events that end in them; returns no event after an
   * oversized one.
   */
  public List<SseEvent> decode(byte[] bytes) {
    List<SseEvent> events = new ArrayList<>();
    for (int i = 0; i < bytes.length && !oversized; i++) {
      accept(bytes[i], events);
    }
    return events;
  }

  /** Returns whether an event exceeded the limit. */
  public boolean isOversized() {
    return oversized;
  }

  private void accept(byte b, List<SseEvent> events) {
    event.write(b);
    oversized = event.size() > maxEventBytes;
    if (b != '\n') {
      line.write(b);
      return;
    }
    String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
    line.reset();
    if (text.isEmpty()) {
      completeEvent(events);
    } else {
      parseField(text);
    }
  }

  private void parseField(String text) {
    if (text.startsWith(EVENT) && text.substring(EVENT.length()).strip().equals(ERROR)) {
      kind = SseEvent.Kind.ERROR;
    } else if (text.startsWith(DATA) && kind == SseEvent.Kind.OTHER) {
      boolean done = text.substring(DATA.length()).strip().equals(DONE);
      kind = done ? SseEvent.Kind.DONE : SseEvent.Kind.CONTENT;
    }
  }

  private void completeEvent(List<SseEvent> events) {
    events.add(new SseEvent(event.toByteArray(), kind));
    event.reset();
    kind = SseEvent.Kind.OTHER;
  }
}
