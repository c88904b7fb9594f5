package org.ragworttide.daemon.log;

import org.jboss.logging.Logger.Level;

/**
 * The numbered log events of the daemon and the gateway, which docs/LOG-CATALOGUE.md explains.
 *
 * <p>Invariant: a number is never reused for another event. Immutable, safe for use by any thread.
 */
public enum LogEvent {
  /** The process has started. */
  STARTED(1001, Level.INFO, "daemon %s of zone %s started as incarnation %s"),
  /** The daemon serves callers. */
  READY(1002, Level.INFO, "ready with configuration version %s"),
  /** A stop was requested. */
  DRAINING(1003, Level.INFO, "draining, requested by %s"),
  /** The process stops normally. */
  STOPPED(1004, Level.INFO, "stopped after draining"),
  /** A task broke an invariant, and the process exits. */
  INVARIANT_BROKEN(1005, Level.FATAL, "broken invariant: %s"),
  /** Lines were dropped because the output was blocked. */
  LINES_DROPPED(1006, Level.WARN, "log lines dropped so far: %s"),
  /** The settings file was checked again; changed values take effect at the next start. */
  SETTINGS_RELOADED(1007, Level.INFO, "settings file checked: %s"),
  /** The process stops at the end of the grace period and closes connections of callers. */
  STOPPED_WITH_CONNECTIONS(
      1008, Level.WARN, "grace period ends with %s open connections, %s with unsent responses"),
  /** A configuration version is in force. */
  CONFIGURATION_APPLIED(2001, Level.INFO, "configuration version %s in force, after %s"),
  /** A configuration version was refused, and the last valid one stays in force. */
  CONFIGURATION_REFUSED(2002, Level.ERROR, "configuration version %s refused: %s"),
  /** The platform service is unavailable. */
  PLATFORM_UNAVAILABLE(2003, Level.WARN, "platform document %s unavailable: %s"),
  /** A VM list is in force. */
  VM_LIST_APPLIED(2004, Level.INFO, "VM list version %s in force with %s VMs"),
  /** A published document other than the configuration was unusable. */
  DOCUMENT_UNUSABLE(2005, Level.WARN, "platform document %s ignored: %s"),
  /** A peer's frame was ignored. */
  PEER_FRAME_REFUSED(3001, Level.WARN, "frame of peer %s ignored: %s"),
  /** An upstream was unreachable, lost the connection or stalled. */
  ATTEMPT_FAILED(4001, Level.WARN, "request %s: upstream %s failed: %s"),
  /** A request whose attempt failed is sent to another upstream. */
  REQUEST_TRIED_AGAIN(4002, Level.INFO, "request %s: retried on another upstream after %s failed"),
  /** A request was refused or a stream ended with an error event. */
  REQUEST_REFUSED(4003, Level.DEBUG, "request %s refused: %s, %s"),
  /** A request failed because of a fault in the daemon. */
  REQUEST_FAILED(4004, Level.ERROR, "request %s failed: %s"),
  /** Requests were ended because their key was withdrawn. */
  REQUESTS_WITHDRAWN(4005, Level.INFO, "ended %s requests because their keys were withdrawn"),
  /** A certificate, key or authority was reloaded. */
  TLS_RELOADED(5001, Level.INFO, "TLS files reloaded: %s"),
  /** A certificate, key or authority could not be reloaded, and the last valid one stays in use. */
  TLS_UNUSABLE(
      5002, Level.ERROR, "TLS files not reloaded, the last valid ones stay in use: %s: %s"),
  /** An order is sent to an engine. */
  ORDER_SENT(6001, Level.INFO, "sending order to engine %s, fencing number %s: %s"),
  /** An engine accepted an order. */
  ORDER_TAKEN(6002, Level.INFO, "engine %s, order with fencing number %s: %s"),
  /** An engine did not accept an order, or its answer is unknown. */
  ORDER_FAILED(6003, Level.WARN, "engine %s, order with fencing number %s: %s"),
  /** A caller received the answer of an upstream. */
  RELAY_ANSWERED(7001, Level.INFO, "request %s answered %s by %s after %s ms"),
  /** The gateway answered a request itself. */
  RELAY_REFUSED(7002, Level.INFO, "request %s refused as %s: %s, after %s ms"),
  /** An upstream failed a request or reported that it did not run it. */
  RELAY_ATTEMPT_FAILED(7003, Level.INFO, "request %s failed at %s: %s, after %s ms"),
  /** An answer was aborted. */
  RELAY_ABORTED(7004, Level.INFO, "request %s aborted: %s, after %s ms"),
  /** A caller disconnected before its answer was complete. */
  RELAY_CALLER_LEFT(7005, Level.INFO, "caller of request %s disconnected after %s ms"),
  /** A caller sent a malformed request. */
  RELAY_BAD_REQUEST(7006, Level.INFO, "bad request answered %s: %s"),
  /** A request was placed on an upstream. */
  RELAY_PLACED(
      7007,
      Level.INFO,
      "request %s placed at %s, load %s, own %s, from %s of %s VMs, report of %s ms,"
          + " of %s upstreams, session %s, prompt %s from %s, shared parts %s"),
  /** Lines of an event were omitted to limit the log volume. */
  LINES_LEFT_OUT(7008, Level.INFO, "%s lines of %s omitted"),
  /** A caller continues a stream that broke off. */
  STREAM_CONTINUED(7009, Level.INFO, "request %s continues stream of request %s after event %s"),
  /** An upstream was added or changed. */
  UPSTREAM_PUT(7101, Level.INFO, "upstream %s of %s version %s at %s, draining %s, cold for %s ms"),
  /** An upstream was removed. */
  UPSTREAM_REMOVED(7102, Level.INFO, "upstream %s removed: %s"),
  /** A zone was taken out of service. */
  ZONE_EVACUATED(7103, Level.INFO, "zone %s taken out of service"),
  /** A zone was returned to service. */
  ZONE_RESTORED(7104, Level.INFO, "zone %s returned to service"),
  /** The store is unavailable. */
  STORE_LOST(7105, Level.WARN, "store unavailable: %s"),
  /** The store is available again. */
  STORE_REGAINED(7106, Level.INFO, "store available again at revision %s after %s ms"),
  /** An upstream names another limit on requests, or none any more. */
  REQUEST_LIMIT_NAMED(7107, Level.INFO, "upstream %s accepts %s requests per second"),
  /** An upstream states that it is about to stop. */
  UPSTREAM_LEAVING(7108, Level.INFO, "upstream %s states that it is leaving"),
  /** An upstream wants no requests for some time. */
  UPSTREAM_PAUSED(7109, Level.INFO, "upstream %s wants no requests for %s ms, paused for %s ms"),
  /** A statement of an upstream is not understood. */
  STATEMENT_UNREADABLE(
      7110, Level.WARN, "upstream %s makes a statement that is not understood: %s"),
  /** The system does not tell the state of a connection. */
  CONNECTION_STATE_UNKNOWN(7111, Level.DEBUG, "state of the connection to %s unknown: %s"),
  /** A response to another request than the awaited one was skipped. */
  RESPONSE_SKIPPED(
      7112, Level.INFO, "response to request %s of upstream %s skipped, request %s is awaited"),
  /** An upstream sent bytes that belong to no request. */
  CONNECTION_DISCARDED(7113, Level.INFO, "connection to %s closed: %s"),
  /** The store has returned from an older copy of itself, in a new era. */
  STORE_RESTORED(
      7114, Level.WARN, "store restored: era %s at revision %s, known before: revision %s"),
  /** No upstream of a zone answers this VM. */
  ZONE_UNREACHABLE(
      7115, Level.WARN, "zone %s cannot be reached, requests go to others until it answers"),
  /** An upstream of a zone that could not be reached has answered. */
  ZONE_REACHED(7116, Level.INFO, "zone %s can be reached again: upstream %s has answered"),
  /** Requests to a service begin to leave the zone because callers lose less in others, or end. */
  ZONE_SHARE_CHANGED(
      7117, Level.INFO, "share of the requests to service %s that leaves zone %s: %s"),
  /** A request is sent to an upstream through another VM, since the VM cannot reach it. */
  TUNNEL_OPENED(7118, Level.INFO, "request %s connected to upstream %s through VM at %s"),
  /** A request of another VM is connected to an upstream that it cannot reach. */
  TUNNEL_SERVED(7119, Level.INFO, "request %s of VM at %s connected to upstream %s"),
  /** A request of another VM is not connected to an upstream. */
  TUNNEL_REFUSED(7120, Level.INFO, "request %s of VM at %s not connected: %s"),
  /** The upstreams of a service are brittle, tolerate another number of rejections, or any. */
  REJECTIONS_TOLERATED(
      7121, Level.INFO, "upstreams of service %s tolerate %s rejections per second"),
  /** The first message of another VM has arrived. */
  PEER_HEARD(7201, Level.INFO, "first message of VM %s received from %s"),
  /** No message of another VM has arrived for 30 s. */
  PEER_LOST(7202, Level.INFO, "no message from VM at %s for %s ms"),
  /** The VM receives the store's changes from another source. */
  FEED_SOURCE(7203, Level.INFO, "changes received from %s after revision %s"),
  /** A change of the store could not be applied. */
  CHANGE_FAILED(7204, Level.ERROR, "change of %s at revision %s not applied: %s"),
  /** A listing or changes of the store do not fit what the VM knows. */
  CHANGES_IGNORED(
      7205, Level.INFO, "%s from revision %s to %s ignored, revision %s is known already"),
  /** Changes are kept that the store lost when it returned from a copy. */
  CHANGES_RETAINED(7206, Level.INFO, "%s items kept that the restored store has not confirmed: %s"),
  /** An upstream crashed while it ran requests of this VM. */
  UPSTREAM_CRASHED(7301, Level.INFO, "upstream %s crashed, counted against %s"),
  /** Another VM has reported that an upstream crashed while it ran the VM's requests. */
  CRASH_REPORTED(7302, Level.INFO, "VM %s reports a crash, counted against %s"),
  /** Requests are held back because of what they contain. */
  QUARANTINE_STARTED(7303, Level.WARN, "requests with %s quarantined after %s crashes"),
  /** A quarantine has ended, or another cause explains its crashes. */
  QUARANTINE_ENDED(7304, Level.INFO, "requests with %s no longer quarantined");

  private final int number;
  private final Level level;
  private final String text;

  LogEvent(int number, Level level, String text) {
    this.number = number;
    this.level = level;
    this.text = text;
  }

  /** Returns the event's number in the log catalogue. */
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
