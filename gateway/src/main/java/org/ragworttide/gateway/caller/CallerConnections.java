package org.ragworttide.gateway.caller;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/** The open connections of callers, to close idle ones and to drain; confined to the event loop. */
public final class CallerConnections {
  private final Set<CallerHandler> open = new LinkedHashSet<>();
  private boolean draining;
  private boolean refusing;

  /** Marks the answers that follow as the last of their connections. */
  public void drain() {
    draining = true;
  }

  /** Refuses the requests that follow: too little time is left to answer them. */
  public void refuse() {
    refusing = true;
  }

  /** Tells whether requests are refused because the gateway is stopping. */
  boolean isRefusing() {
    return refusing;
  }

  /** Tells whether the gateway is stopping. */
  public boolean isDraining() {
    return draining;
  }

  /** Tells whether no request is being received or answered. */
  public boolean isQuiet() {
    return open.stream().allMatch(CallerHandler::isIdle);
  }

  /** Closes connections that have been idle for the time, in milliseconds. */
  public void closeIdle(long nowMillis, long idleMillis) {
    new ArrayList<>(open).forEach(it -> it.closeIfIdle(nowMillis, idleMillis));
  }

  void add(CallerHandler handler) {
    open.add(handler);
  }

  void remove(CallerHandler handler) {
    open.remove(handler);
  }
}
