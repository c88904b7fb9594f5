package org.ragworttide.daemon.decision;

/** Result of a claim on an idempotency key; immutable, safe for use by any thread. */
public sealed interface ClaimDecision {

  /**
   * The claimant has the exclusive right to run the request.
   *
   * @param handle receives the outcome of the run
   */
  record Granted(ClaimHandle handle) implements ClaimDecision {}

  /**
   * An earlier request with the key has run and was answered.
   *
   * @param status the answer's HTTP status
   * @param contentType the answer's content type, empty if it had none
   * @param body the answer's body
   */
  record FirstAnswer(int status, String contentType, byte[] body) implements ClaimDecision {}

  /** An earlier request with the key is running and has no answer yet. */
  record FirstRunning() implements ClaimDecision {}

  /** An earlier request with the key was sent to an upstream and its answer was lost. */
  record MayHaveRun() implements ClaimDecision {}

  /**
   * This request does not run because its organisation begins more claims than the others. Whether
   * an earlier request with the key has run was not checked.
   *
   * @param retryAfterMillis time after which the caller may retry
   */
  record OverQuota(long retryAfterMillis) implements ClaimDecision {}

  /**
   * The request has not run.
   *
   * @param reason why the claim was not granted, in a text for the caller
   */
  record NotRun(String reason) implements ClaimDecision {}
}
