package org.ragworttide.daemon.log;

import org.jboss.logging.Logger.Level;

/**
 * The numbered events that a daemon logs, as docs/LOG-CATALOGUE.md explains them.
 *
 * <p>Invariant: a number is never used for another event. Immutable, safe for use by any thread.
 */
public enum LogEvent {
  /** The process has started. */
  STARTED(1001, Level.INFO, "daemon %s of zone %s started as incarnation %s"),
  /** The daemon serves callers. */
  READY(1002, Level.INFO, "ready with configuration version %s"),
  /** A stop was asked for. */
  DRAINING(1003, Level.INFO, "draining, asked by %s"),
  /** The process ends in order. */
  STOPPED(1004, Level.INFO, "stopped after draining"),
  /** A task broke an invariant and the process ends. */
  INVARIANT_BROKEN(1005, Level.FATAL, "broken invariant: %s"),
  /** A configuration version is in force. */
  CONFIGURATION_APPLIED(2001, Level.INFO, "configuration version %s in force, after %s"),
  /** A configuration version was refused and the last good one stays. */
  CONFIGURATION_REFUSED(2002, Level.ERROR, "configuration version %s refused: %s"),
  /** The platform's service can't be read. */
  PLATFORM_UNAVAILABLE(2003, Level.WARN, "platform document %s unavailable: %s"),
  /** A VM list is in force. */
  VM_LIST_APPLIED(2004, Level.INFO, "VM list version %s in force with %s VMs"),
  /** A published document other than the configuration was unusable. */
  DOCUMENT_UNUSABLE(2005, Level.WARN, "platform document %s ignored: %s"),
  /** A peer's frame was ignored. */
  PEER_FRAME_REFUSED(3001, Level.WARN, "frame of peer %s ignored: %s");

  private final int number;
  private final Level level;
  private final String text;

  LogEvent(int number, Level level, String text) {
    this.number = number;
    this.level = level;
    this.text = text;
  }

  /** Returns the event's number in the catalogue. */
  public int number() {
    return number;
  }

  /** Returns the event's severity. */
  public Level level() {
    return level;
  }

  /** Returns the event's text, with a placeholder for each parameter. */
  public String text() {
    return text;
  }
}
