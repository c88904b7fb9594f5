package org.ragworttide.daemon.relay;

import io.netty.handler.codec.http.HttpHeaders;
import org.ragworttide.daemon.decision.RequestId;

/**
 * Part of the answer to a caller. An answer is either one complete answer or refusal, or the head
 * of a stream followed by its events.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface AnswerPart {

  /**
   * A complete answer of an upstream that is not a stream.
   *
   * @param status the HTTP status
   * @param headers the end-to-end headers
   * @param body the body
   */
  record Whole(int status, HttpHeaders headers, byte[] body) implements AnswerPart {}

  /**
   * A refusal in place of an answer.
   *
   * @param problem the reason
   */
  record Refusal(Problem problem) implements AnswerPart {}

  /**
   * The head of a stream of events.
   *
   * @param headers the end-to-end headers
   */
  record StreamHead(HttpHeaders headers) implements AnswerPart {}

  /**
   * One event of a stream.
   *
   * @param bytes the event, including the blank line that ends it
   * @param last whether this event completes the stream
   */
  record StreamEvent(byte[] bytes, boolean last) implements AnswerPart {}

  /**
   * The event that ends a stream which can't be continued.
   *
   * @param problem the reason
   * @param bytes the event, including the blank line that ends it
   */
  record StreamFailure(Problem problem, byte[] bytes) implements AnswerPart {}

  /**
   * Returns the part that ends an answer with the problem: a refusal, or an error event if a stream
   * has begun.
   */
  static AnswerPart ending(Problem problem, RequestId request, boolean streamBegun) {
    return streamBegun
        ? new StreamFailure(problem, ProblemJson.event(problem, request))
        : new Refusal(problem);
  }
}
