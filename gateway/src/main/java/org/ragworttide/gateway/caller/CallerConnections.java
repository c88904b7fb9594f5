package org.ragworttide.gateway.caller;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Tracks the open connections of callers, closes idle ones and drains them all when the gateway
 * stops. Confined to the event loop.
 */
public final class CallerConnections {
  private final Set<CallerHandler> open = new LinkedHashSet<>();
  private boolean draining;
  private boolean refusing;

  /** Starts draining: each following response closes its connection. */
  public void drain() {
    draining = true;
  }

  /** Refuses all following requests, because too little time remains to answer them. */
  public void refuseRequests() {
    refusing = true;
  }

  /** Returns whether requests are refused because the gateway is stopping. */
  boolean isRefusing() {
    return refusing;
  }

  /** Returns whether the gateway is stopping. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns whether no request is being received or answered. */
  public boolean areAllIdle() {
    return open.stream().allMatch(CallerHandler::isIdle);
  }

  /** Closes the connections that have been idle for the given time. */
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
