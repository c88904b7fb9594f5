package org.ragworttide.daemon.relay;

import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Ends an answer early when the caller's deadline passes or its key is withdrawn.
 *
 * <p>Invariant: an answer that is ended early ends with a problem, unless it is already complete.
 * Parts must arrive one at a time; interruptions may arrive on any thread.
 */
final class Interruption {
  private final CallerRequest request;
  private final RequestRun run;
  private final AtomicReference<Problem> interruptingProblem = new AtomicReference<>();
  private boolean streamBegun;
  private boolean complete;

  Interruption(CallerRequest request, RequestRun run) {
    this.request = request;
    this.run = run;
  }

  Flux<AnswerPart> guard(Flux<AnswerPart> parts, Mono<ProblemCode> withdrawn) {
    Mono<ProblemCode> deadline =
        Mono.delay(request.deadline().remaining()).map(unused -> ProblemCode.DEADLINE_PASSED);
    Mono<Problem> interrupted =
        Mono.firstWithValue(deadline, withdrawn)
            .map(this::problem)
            .doOnNext(interruptingProblem::set);
    return parts
        .onErrorResume(error -> Mono.just(ending(internalError(error))))
        .takeUntilOther(interrupted)
        .doOnNext(this::recordProgress)
        .concatWith(Flux.defer(this::endEarly));
  }

  private void recordProgress(AnswerPart part) {
    switch (part) {
      case AnswerPart.StreamHead head -> streamBegun = true;
      case AnswerPart.StreamEvent event -> complete = event.last();
      case AnswerPart.StreamFailure failure -> complete = true;
      case AnswerPart.Whole whole -> complete = true;
      case AnswerPart.Refusal refusal -> complete = true;
    }
  }

  private Problem problem(ProblemCode code) {
    String detail =
        code == ProblemCode.DEADLINE_PASSED ? "the caller's time is over" : "ended early";
    return new Problem(code, run.interrupt(), detail, 0);
  }

  private Problem internalError(Throwable error) {
    EventLog.log(LogEvent.REQUEST_FAILED, request.id(), error);
    return new Problem(ProblemCode.INTERNAL, run.interrupt(), "unexpected failure", 0);
  }

  private Flux<AnswerPart> endEarly() {
    Problem problem = interruptingProblem.get();
    return problem == null || complete ? Flux.empty() : Flux.just(ending(problem));
  }

  private AnswerPart ending(Problem problem) {
    return AnswerPart.ending(problem, request.id(), streamBegun);
  }
}
