package org.ragworttide.daemon.relay;

import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.daemon.decision.AttemptOutcome;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import org.ragworttide.daemon.metrics.PathMetrics;
import reactor.core.publisher.Flux;

/**
 * Counts and logs what becomes of one request.
 *
 * <p>Invariant: a request is counted once, when it begins. Signals come one at a time.
 */
final class RunMetrics {
  private static final int SERVER_FAULT_MIN = 500;

  private final CallerRequest request;
  private final PathMetrics metrics;
  private final long startNanos = System.nanoTime();
  private boolean begun;

  RunMetrics(CallerRequest request, PathMetrics metrics) {
    this.request = request;
    this.metrics = metrics;
    metrics.requested(request.organisation());
  }

  /** Notes that the request is sent for the first time. */
  void sent() {
    metrics.sentAfter(System.nanoTime() - startNanos);
  }

  /** Notes a part on its way to the caller. */
  void part(AnswerPart part) {
    if (!begun) {
      begun = true;
      metrics.firstByteAfter(System.nanoTime() - startNanos);
    }
    switch (part) {
      case AnswerPart.Whole whole -> metrics.answered(request.organisation());
      case AnswerPart.Refusal refusal -> refused(refusal.problem());
      case AnswerPart.StreamFailure failure -> refused(failure.problem());
      case AnswerPart.StreamHead head -> {}
      case AnswerPart.StreamEvent event when event.last() ->
          metrics.answered(request.organisation());
      case AnswerPart.StreamEvent event -> {}
    }
  }

  /** Returns the attempt's parts and counts its outcome. */
  Flux<AnswerPart> watch(UpstreamId upstream, Attempt attempt) {
    return Flux.defer(
        () -> {
          metrics.attemptBegun(upstream);
          return attempt.parts().doFinally(unused -> ended(upstream, attempt));
        });
  }

  /** Notes that another upstream is tried. */
  void triedAgain(UpstreamId failed, boolean resumed) {
    metrics.triedAgain(resumed);
    EventLog.log(LogEvent.REQUEST_TRIED_AGAIN, request.id(), failed);
  }

  private void refused(Problem problem) {
    boolean insideRate = problem.code().status() >= SERVER_FAULT_MIN;
    metrics.refused(request.organisation(), problem.code().code(), insideRate);
    EventLog.log(
        LogEvent.REQUEST_REFUSED, request.id(), problem.code().code(), problem.outcome().code());
  }

  private void ended(UpstreamId upstream, Attempt attempt) {
    AttemptOutcome outcome = attempt.outcome();
    metrics.attemptEnded(upstream, name(outcome));
    if (!attempt.cacheReuse().isEmpty()) {
      metrics.cacheReuse(attempt.cacheReuse().equals("hit"));
    }
    if (!(outcome instanceof AttemptOutcome.Answered
        || outcome instanceof AttemptOutcome.Cancelled)) {
      EventLog.log(LogEvent.ATTEMPT_FAILED, request.id(), upstream, name(outcome));
    }
  }

  private static String name(AttemptOutcome outcome) {
    return switch (outcome) {
      case AttemptOutcome.Answered answered -> "answered";
      case AttemptOutcome.Unreachable unreachable -> "unreachable";
      case AttemptOutcome.Lost lost -> "lost";
      case AttemptOutcome.Stalled stalled -> "stalled";
      case AttemptOutcome.Cancelled cancelled -> "cancelled";
    };
  }
}
