package org.ragworttide.daemon.relay;

import org.ragworttide.daemon.upstream.UpstreamEvent;

/**
 * Result of one attempt, from which the run decides its next step; immutable, safe for use by any
 * thread.
 */
sealed interface AttemptResult {

  /** The complete answer was forwarded to the caller. */
  record Answered() implements AttemptResult {}

  /**
   * The upstream answered that it can't serve the request at present; its answer was not forwarded.
   */
  record Withheld(AnswerPart.Whole whole) implements AttemptResult {}

  /** The upstream's answer can't be forwarded, and a retry would not help. */
  record Refused(Problem problem) implements AttemptResult {}

  /** No complete answer arrived. */
  record Failed(UpstreamEvent.Failure failure) implements AttemptResult {}
}
