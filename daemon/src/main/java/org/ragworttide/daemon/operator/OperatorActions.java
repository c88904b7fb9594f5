package org.ragworttide.daemon.operator;

import java.util.Map;

/**
 * Operations that a daemon offers to operators.
 *
 * <p>Implementations are safe for use by any thread and do not block.
 */
public interface OperatorActions {

  /** Returns whether load balancers may route callers to this daemon. */
  boolean isReady();

  /** Returns the daemon's state, as sections of JSON-like values. */
  Map<String, Object> status();

  /** Starts a drain on behalf of the actor. */
  void drain(String actor);
}
