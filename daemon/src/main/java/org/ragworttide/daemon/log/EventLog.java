package org.ragworttide.daemon.log;

import java.util.regex.Pattern;
import org.jboss.logging.Logger;

/**
 * Writes numbered events to the log.
 *
 * <p>Invariant: callers pass no key and no content of a request. Stateless, safe for use by any
 * thread.
 */
public final class EventLog {
  /** Characters of an event's number as logged, such as RWT1001. */
  static final int NUMBER_CHARS = 7;

  private static final Pattern NUMBERED = Pattern.compile("RWT\\d{4} .*", Pattern.DOTALL);
  private static final Logger LOGGER = Logger.getLogger("org.ragworttide");

  private EventLog() {}

  /** Returns whether a message begins with an event's number. */
  static boolean isNumbered(String message) {
    return NUMBERED.matcher(message).matches();
  }

  /** Logs the event with its parameters, in the order of its text. */
  public static void log(LogEvent event, Object... parameters) {
    if (LOGGER.isEnabled(event.level())) {
      String text = event.text().formatted(parameters);
      LOGGER.log(event.level(), "RWT%04d %s".formatted(event.number(), text));
    }
  }
}
