package org.ragworttide.coordination.streams;

import java.util.regex.Pattern;

/**
 * The id that an upstream has given to an event of a stream.
 *
 * <p>Ids of a stream increase. Only whole numbers can be compared; other ids have an order that is
 * known to the upstream alone, so that of them no more is known than whether they are the same.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param value the id
 */
public record EventId(String value) {
  /** Digits that fit into a long. */
  private static final Pattern WHOLE_NUMBER = Pattern.compile("\\d{1,18}");

  /** Characters that any header carries unchanged. */
  private static final Pattern PRINTABLE = Pattern.compile("[\\x20-\\x7e]+");

  /**
   * Returns whether an event with this id may follow the last one that was passed on, where an
   * upstream continues what another one began.
   */
  public boolean mayFollow(EventId last) {
    return isNumber() && last.isNumber()
        ? Long.parseLong(value) > Long.parseLong(last.value)
        : !value.equals(last.value);
  }

  /**
   * Returns whether a request can name the event to an upstream; an empty id stands for the
   * beginning of a stream.
   */
  public boolean isNameable() {
    return PRINTABLE.matcher(value).matches();
  }

  private boolean isNumber() {
    return WHOLE_NUMBER.matcher(value).matches();
  }
}
