package org.ragworttide.daemon.log;

import java.util.regex.Pattern;
import org.jboss.logging.Logger;

/**
 * Writes numbered events to the log.
 *
 * <p>Invariant: parameters contain no key and no request content. Stateless, safe for use by any
 * thread.
 */
public final class EventLog {
  /** The length of an event number in the log, such as RWT1001. */
  static final int NUMBER_CHARS = 7;

  private static final Pattern NUMBERED = Pattern.compile("RWT\\d{4} .*", Pattern.DOTALL);
  private static final Logger LOGGER = Logger.getLogger("org.ragworttide");

  private EventLog() {}

  /** Returns whether a message starts with an event number. */
  static boolean isNumbered(String message) {
    return NUMBERED.matcher(message).matches();
  }

  /** Logs the event with its parameters, in the order of the placeholders in its text. */
  public static void log(LogEvent event, Object... parameters) {
    if (LOGGER.isEnabled(event.level())) {
      String text = event.text().formatted(parameters);
      LOGGER.log(event.level(), "RWT%04d %s".formatted(event.number(), text));
    }
  }
}
