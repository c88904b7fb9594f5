package org.ragworttide.daemon.runtime;

import java.util.Map;
import java.util.function.Consumer;
import org.ragworttide.daemon.operator.OperatorActions;

/**
 * Serves operator requests from the last snapshot of the daemon's status.
 *
 * <p>Safe for use by any thread.
 */
record Operators(DaemonStatus daemonStatus, Consumer<String> drainAction)
    implements OperatorActions {

  @Override
  public boolean isReady() {
    return daemonStatus.isReady();
  }

  @Override
  public Map<String, Object> status() {
    return daemonStatus.sections();
  }

  @Override
  public void drain(String actor) {
    drainAction.accept(actor);
  }
}
