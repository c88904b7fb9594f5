package org.ragworttide.daemon.operator;

import java.util.Map;

/**
 * What operators may ask of a daemon.
 *
 * <p>Implementations are safe for use by any thread and do not block.
 */
public interface OperatorActions {

  /** Tells whether callers may be sent here. */
  boolean isReady();

  /** Returns the daemon's state, as sections of JSON-like values. */
  Map<String, Object> status();

  /** Begins to drain, on behalf of whom the text names. */
  void drain(String actor);
}
