package org.ragworttide.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import org.ragworttide.daemon.decision.RequestId;

/**
 * A part of the answer to a caller: either one whole answer or refusal, or a stream's head and its
 * events.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface AnswerPart {

  /**
   * A whole answer of an upstream.
   *
   * @param status HTTP status
   * @param headers end-to-end headers
   * @param body the body
   */
  record Whole(int status, HttpHeaders headers, byte[] body) implements AnswerPart {}

  /**
   * A refusal in place of an answer.
   *
   * @param problem why
   */
  record Refusal(Problem problem) implements AnswerPart {}

  /**
   * The head of a stream of events.
   *
   * @param headers end-to-end headers
   */
  record StreamHead(HttpHeaders headers) implements AnswerPart {}

  /**
   * One event of a stream.
   *
   * @param bytes the event with its closing blank line
   * @param last whether the stream is whole with it
   */
  record StreamEvent(byte[] bytes, boolean last) implements AnswerPart {}

  /**
   * The event that ends a stream which can't be continued.
   *
   * @param problem why
   * @param bytes the event with its closing blank line
   */
  record StreamFailure(Problem problem, byte[] bytes) implements AnswerPart {}

  /** Returns the part that ends an answer with a refusal, before or after a stream has begun. */
  static AnswerPart ending(Problem problem, RequestId request, boolean streamBegun) {
    return streamBegun
        ? new StreamFailure(problem, ProblemJson.event(problem, request))
        : new Refusal(problem);
  }
}
