package org.ragworttide.coordination.quarantine;

/**
 * Whether a request may run although its like was running when an upstream died.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface QuarantineDecision {

  /** Nothing is known against it. */
  record Unsuspected() implements QuarantineDecision {}

  /**
   * It may run once, alone; its end is to be told by {@link QuarantineCommands#finished}.
   *
   * @param runId identifies the permitted run
   */
  record Permitted(long runId) implements QuarantineDecision {}

  /**
   * It may not run and has not run.
   *
   * @param retryAfterMillis when the caller may try again
   * @param reason why it was refused
   */
  record Refused(long retryAfterMillis, Reason reason) implements QuarantineDecision {}

  /** Why a request was refused. */
  enum Reason {
    /** It has crashed two upstreams. */
    CRASHED_TWICE,
    /** Its like is being tried at the moment. */
    BEING_TRIED,
    /** The VM that decides on it did not answer in time. */
    OWNER_UNREACHABLE
  }
}
