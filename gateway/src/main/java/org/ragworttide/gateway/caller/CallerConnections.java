package org.ragworttide.gateway.caller;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import org.ragworttide.coordination.admission.StopAdmission;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;

/**
 * Tracks the open connections of callers, closes idle ones and ends the requests of all when the
 * gateway stops. Confined to the event loop.
 */
public final class CallerConnections {
  private final Set<CallerHandler> open = new LinkedHashSet<>();
  private final StopAdmission stopAdmission;

  /** Creates the connections of a gateway; each response closes its connection during a stop. */
  public CallerConnections(StopAdmission stopAdmission) {
    this.stopAdmission = stopAdmission;
  }

  /** Returns whether the gateway is stopping. */
  boolean isStopping() {
    return stopAdmission.isStopping();
  }

  /** Returns whether any connection is open, even if only to deliver the end of its response. */
  public boolean areAnyOpen() {
    return !open.isEmpty();
  }

  /** Closes the connections that have been idle for the given time. */
  public void closeIdle(long nowMillis, long idleMillis) {
    new ArrayList<>(open).forEach(it -> it.closeIfIdle(nowMillis, idleMillis));
  }

  /**
   * Closes the connections that have been idle for the given time and whose callers have been sent
   * their responses.
   */
  public void closeUnused(long nowMillis, long idleMillis) {
    new ArrayList<>(open).forEach(it -> it.closeIfUnused(nowMillis, idleMillis));
  }

  /** Gives all requests that are being received or relayed their final answers. */
  public void endRequests() {
    new ArrayList<>(open).forEach(CallerHandler::endRequestAtStop);
  }

  /** Logs the connections that the exit of the process closes, if there are any. */
  public void logUnfinished() {
    if (!open.isEmpty()) {
      long unsent = open.stream().filter(CallerHandler::hasUnsentBytes).count();
      EventLog.log(LogEvent.STOPPED_WITH_CONNECTIONS, open.size(), unsent);
    }
  }

  void add(CallerHandler handler) {
    open.add(handler);
  }

  void remove(CallerHandler handler) {
    open.remove(handler);
  }
}
