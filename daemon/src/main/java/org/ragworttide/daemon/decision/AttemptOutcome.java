package org.ragworttide.daemon.decision;

/** Outcome of one attempt on an upstream; immutable, safe for use by any thread. */
public sealed interface AttemptOutcome {

  /**
   * The upstream returned a complete answer.
   *
   * @param status the HTTP status of the answer
   * @param firstByteMillis time from sending the request to the first byte of the answer
   */
  record Answered(int status, long firstByteMillis) implements AttemptOutcome {}

  /** No connection was established, so no byte of the request was sent. */
  record Unreachable() implements AttemptOutcome {}

  /**
   * The connection was lost after the request may have been sent.
   *
   * @param answerStarted whether part of an answer had been received
   */
  record Lost(boolean answerStarted) implements AttemptOutcome {}

  /** No byte of the answer arrived for longer than the settings allow. */
  record Stalled() implements AttemptOutcome {}

  /** The caller disconnected, its deadline passed or its key was withdrawn. */
  record Cancelled() implements AttemptOutcome {}
}
