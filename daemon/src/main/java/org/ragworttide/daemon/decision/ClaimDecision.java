package org.ragworttide.daemon.decision;

/** The truth about a claimed key; immutable, safe for use by any thread. */
public sealed interface ClaimDecision {

  /**
   * The caller of the port may run the request, and nobody else may.
   *
   * @param handle takes what became of the run
   */
  record Granted(ClaimHandle handle) implements ClaimDecision {}

  /**
   * The request has run; this is its answer.
   *
   * @param status the answer's HTTP status
   * @param contentType the answer's content type, empty if it had none
   * @param body the answer's body
   */
  record FirstAnswer(int status, String contentType, byte[] body) implements ClaimDecision {}

  /** The request runs now and its answer isn't known yet. */
  record FirstRunning() implements ClaimDecision {}

  /** The request was sent to an upstream and its answer was lost. */
  record MayHaveRun() implements ClaimDecision {}

  /**
   * This arrival does not run, since its organisation begins more claims than the others; whether
   * an earlier arrival has run was not asked.
   *
   * @param retryAfterMillis when to come back
   */
  record OverQuota(long retryAfterMillis) implements ClaimDecision {}

  /**
   * The request has not run.
   *
   * @param reason why it was not granted, for the caller
   */
  record NotRun(String reason) implements ClaimDecision {}
}
