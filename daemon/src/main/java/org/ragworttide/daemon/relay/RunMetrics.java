package org.ragworttide.daemon.relay;

import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.metrics.PathMetrics;
import reactor.core.publisher.Flux;

/**
 * Records the metrics and log events of one request.
 *
 * <p>Invariant: a request is counted once, when it begins. Signals must arrive one at a time.
 */
final class RunMetrics {
  private static final int SERVER_ERROR_STATUS_MIN = 500;

  private final CallerRequest request;
  private final PathMetrics metrics;
  private final long startNanos = System.nanoTime();
  private boolean answerBegun;

  RunMetrics(CallerRequest request, PathMetrics metrics) {
    this.request = request;
    this.metrics = metrics;
    metrics.recordRequest(request.organisation());
  }

  /** Records that the request is sent for the first time. */
  void recordSent() {
    metrics.recordTimeToSend(System.nanoTime() - startNanos);
  }

  /** Records a part that is forwarded to the caller. */
  void recordPart(AnswerPart part) {
    if (!answerBegun) {
      answerBegun = true;
      metrics.recordTimeToFirstByte(System.nanoTime() - startNanos);
    }
    switch (part) {
      case AnswerPart.Whole whole -> metrics.recordAnswer(request.organisation());
      case AnswerPart.Refusal refusal -> recordRefusal(refusal.problem());
      case AnswerPart.StreamFailure failure -> recordRefusal(failure.problem());
      case AnswerPart.StreamHead head -> {}
      case AnswerPart.StreamEvent event when event.last() ->
          metrics.recordAnswer(request.organisation());
      case AnswerPart.StreamEvent event -> {}
    }
  }

  /** Returns the attempt's parts, and records the attempt's start and outcome. */
  Flux<AnswerPart> recordAttempt(UpstreamId upstream, Attempt attempt) {
    return Flux.defer(
        () -> {
          metrics.recordAttemptStart(upstream);
          return attempt.parts().doFinally(unused -> recordAttemptEnd(upstream, attempt));
        });
  }

  /** Records that the request is retried on another upstream. */
  void recordRetry(UpstreamId failed, boolean resumed) {
    metrics.recordRetry(resumed);
    EventLog.log(LogEvent.REQUEST_TRIED_AGAIN, request.id(), failed);
  }

  private void recordRefusal(Problem problem) {
    boolean insideRate = problem.code().status() >= SERVER_ERROR_STATUS_MIN;
    metrics.recordRefusal(request.organisation(), problem.code().code(), insideRate);
    EventLog.log(
        LogEvent.REQUEST_REFUSED, request.id(), problem.code().code(), problem.outcome().code());
  }

  private void recordAttemptEnd(UpstreamId upstream, Attempt attempt) {
    AttemptOutcome outcome = attempt.outcome();
    metrics.recordAttemptEnd(upstream, label(outcome));
    if (!attempt.cacheReuse().isEmpty()) {
      metrics.recordCacheReuse(attempt.cacheReuse().equals("hit"));
    }
    if (!(outcome instanceof AttemptOutcome.Answered
        || outcome instanceof AttemptOutcome.Cancelled)) {
      EventLog.log(LogEvent.ATTEMPT_FAILED, request.id(), upstream, label(outcome));
    }
  }

  private static String label(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.Answered answered -> "answered";
      case AttemptOutcome.Unreachable unreachable -> "unreachable";
      case AttemptOutcome.Lost lost -> "lost";
      case AttemptOutcome.Stalled stalled -> "stalled";
      case AttemptOutcome.Cancelled cancelled -> "cancelled";
    };
  }
}
