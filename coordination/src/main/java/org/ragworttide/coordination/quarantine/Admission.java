package org.ragworttide.coordination.quarantine;

/** Decision whether a request may be sent, given what is suspected of crashing upstreams. */
public sealed interface Admission {

  /** The request may be sent. Immutable. */
  record Admitted() implements Admission {}

  /**
   * The request may be sent to find out whether such requests still crash upstreams. Immutable.
   *
   * @param cause what has crashed upstreams; its quarantine is over
   */
  record Trial(CrashCause cause) implements Admission {}

  /**
   * The request must not be sent. Immutable.
   *
   * @param cause what the request has in common with those that have crashed upstreams
   */
  record HeldBack(CrashCause cause) implements Admission {}
}
