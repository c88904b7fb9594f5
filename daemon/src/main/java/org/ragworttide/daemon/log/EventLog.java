package org.ragworttide.daemon.log;

import org.jboss.logging.Logger;

/**
 * Writes numbered events to the log.
 *
 * <p>Invariant: callers pass no key and no content of a request. Stateless, safe for use by any
 * thread.
 */
public final class EventLog {
  private static final Logger LOGGER = Logger.getLogger("org.ragworttide");

  private EventLog() {}

  /** Logs the event with its parameters, in the order of its text. */
  public static void log(LogEvent event, Object... parameters) {
    if (LOGGER.isEnabled(event.level())) {
      String text = event.text().formatted(parameters);
      LOGGER.log(event.level(), "RWT%04d %s".formatted(event.number(), text));
    }
  }
}
