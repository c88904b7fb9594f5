package org.ragworttide.coordination.quarantine;

/**
 * Decision on whether a request may run, given the upstream deaths during runs of identical
 * requests.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface QuarantineDecision {

  /** There is no record of a death, and the request may run. */
  record Unsuspected() implements QuarantineDecision {}

  /**
   * The request may run once, alone; {@link QuarantineCommands#recordRunEnd} must report its end.
   *
   * @param runId identifies the permitted run
   */
  record Permitted(long runId) implements QuarantineDecision {}

  /**
   * The request may not run and has not run.
   *
   * @param retryAfterMillis the time after which the caller may try again
   * @param reason the reason for the refusal
   */
  record Refused(long retryAfterMillis, Reason reason) implements QuarantineDecision {}

  /** Reason why a request was refused. */
  enum Reason {
    /** Two upstreams died while the request was running. */
    CRASHED_TWICE,
    /** A permitted run of an identical request is in progress. */
    BEING_TRIED,
    /** The owner of the request, which decides on it, is not known or did not answer in time. */
    OWNER_UNREACHABLE
  }
}
