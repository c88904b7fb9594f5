package org.ragworttide.daemon.relay;

import org.ragworttide.daemon.upstream.UpstreamEvent;

/** What became of one attempt, as the run sees it; immutable, safe for use by any thread. */
sealed interface AttemptResult {

  /** The whole answer was handed on. */
  record Answered() implements AttemptResult {}

  /** The upstream said that it can't serve now; its answer was not handed on. */
  record Withheld(AnswerPart.Whole whole) implements AttemptResult {}

  /** The upstream's answer can't be handed on, nor would another try help. */
  record Refused(Problem problem) implements AttemptResult {}

  /** No whole answer came. */
  record Failed(UpstreamEvent.Failure failure) implements AttemptResult {}
}
