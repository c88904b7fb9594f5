package org.ragworttide.daemon.decision;

/** What became of one attempt on an upstream; immutable, safe for use by any thread. */
public sealed interface AttemptOutcome {

  /**
   * The upstream answered whole.
   *
   * @param status its HTTP status
   * @param firstByteMillis milliseconds from sending to the answer's first byte
   */
  record Answered(int status, long firstByteMillis) implements AttemptOutcome {}

  /** No connection came about; no byte was sent. */
  record Unreachable() implements AttemptOutcome {}

  /**
   * The connection was lost after the request may have been sent.
   *
   * @param answerStarted whether part of an answer had come
   */
  record Lost(boolean answerStarted) implements AttemptOutcome {}

  /** The answer stood still for longer than the settings allow. */
  record Stalled() implements AttemptOutcome {}

  /** The caller hung up, its deadline passed or its key was withdrawn. */
  record Cancelled() implements AttemptOutcome {}
}
