package org.ragworttide.daemon.relay;

import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.daemon.log.EventLog;
import org.ragworttide.daemon.log.LogEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Ends an answer early, when the caller's deadline passes or its key is withdrawn.
 *
 * <p>Invariant: an answer that is ended early says so, unless it is whole already. Parts come one
 * at a time, interruptions from any thread.
 */
final class Interruption {
  private final CallerRequest request;
  private final RequestRun run;
  private final AtomicReference<Problem> raised = new AtomicReference<>();
  private boolean streamBegun;
  private boolean ended;

  Interruption(CallerRequest request, RequestRun run) {
    this.request = request;
    this.run = run;
  }

  Flux<AnswerPart> guard(Flux<AnswerPart> parts, Mono<ProblemCode> withdrawn) {
    Mono<ProblemCode> deadline =
        Mono.delay(request.deadline().remaining()).map(unused -> ProblemCode.DEADLINE_PASSED);
    Mono<Problem> interrupted =
        Mono.firstWithValue(deadline, withdrawn).map(this::problem).doOnNext(raised::set);
    return parts
        .onErrorResume(error -> Mono.just(ending(internal(error))))
        .takeUntilOther(interrupted)
        .doOnNext(this::note)
        .concatWith(Flux.defer(this::endEarly));
  }

  private void note(AnswerPart part) {
    switch (part) {
      case AnswerPart.StreamHead head -> streamBegun = true;
      case AnswerPart.StreamEvent event -> ended = event.last();
      case AnswerPart.StreamFailure failure -> ended = true;
      case AnswerPart.Whole whole -> ended = true;
      case AnswerPart.Refusal refusal -> ended = true;
    }
  }

  private Problem problem(ProblemCode code) {
    String detail =
        code == ProblemCode.DEADLINE_PASSED ? "the caller's time is over" : "ended early";
    return new Problem(code, run.interrupt(), detail, 0);
  }

  private Problem internal(Throwable error) {
    EventLog.log(LogEvent.REQUEST_FAILED, request.id(), error);
    return new Problem(ProblemCode.INTERNAL, run.interrupt(), "unexpected failure", 0);
  }

  private Flux<AnswerPart> endEarly() {
    Problem problem = raised.get();
    return problem == null || ended ? Flux.empty() : Flux.just(ending(problem));
  }

  private AnswerPart ending(Problem problem) {
    return AnswerPart.ending(problem, request.id(), streamBegun);
  }
}
