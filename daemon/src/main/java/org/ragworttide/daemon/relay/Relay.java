package org.ragworttide.daemon.relay;

import java.util.function.Supplier;
import org.ragworttide.daemon.decision.RateDecision;
import org.ragworttide.daemon.metrics.PathMetrics;
import org.ragworttide.daemon.upstream.UpstreamClient;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Answers callers' requests: applies rate limits, obtains claims and runs the requests on
 * upstreams.
 *
 * <p>Invariants: the first part of every answer is a complete answer, a refusal or the head of a
 * stream; a stream ends either complete or with an error event. Safe for use by any thread.
 */
public final class Relay {
  private final RelayPorts ports;
  private final RelaySettings settings;
  private final UpstreamClient client;
  private final PathMetrics metrics;
  private final InFlightCounter claimedRuns = new InFlightCounter();

  /** Creates a relay over the ports and the client. */
  public Relay(
      RelayPorts ports, RelaySettings settings, UpstreamClient client, PathMetrics metrics) {
    this.ports = ports;
    this.settings = settings;
    this.client = client;
    this.metrics = metrics;
  }

  /**
   * Answers a request once subscribed; cancelling ends its processing.
   *
   * @param request the request to answer
   * @param withdrawn emits the code of the refusal if the request must end early
   */
  public Flux<AnswerPart> answer(CallerRequest request, Mono<ProblemCode> withdrawn) {
    return Flux.defer(
        () -> {
          RunMetrics runMetrics = new RunMetrics(request, metrics);
          RequestRun run = new RequestRun(request, ports, settings, client, runMetrics);
          Flux<AnswerPart> parts = ifAdmitted(request, run::parts);
          if (!request.upstream().idempotent()) {
            parts =
                new ClaimedRun(request, run, ports.claims(), settings, claimedRuns).parts(parts);
          }
          return new Interruption(request, run)
              .guard(parts, withdrawn)
              .doOnNext(runMetrics::recordPart);
        });
  }

  /**
   * Returns the counter of non-idempotent runs in progress, which may outlast the connections of
   * their callers.
   */
  public InFlightCounter claimedRuns() {
    return claimedRuns;
  }

  private Flux<AnswerPart> ifAdmitted(CallerRequest request, Supplier<Flux<AnswerPart>> parts) {
    if (request.organisation().isEmpty()) {
      return Flux.defer(parts);
    }
    return ports
        .rates()
        .acquire(request.organisation().get(), request.deduplicationId())
        .publishOn(Schedulers.parallel())
        .flatMapMany(
            decision ->
                switch (decision) {
                  case RateDecision.Admitted admitted -> parts.get();
                  case RateDecision.Limited limited -> refuse(limited);
                  case RateDecision.Unavailable unavailable -> refuse(unavailable);
                });
  }

  private static Flux<AnswerPart> refuse(RateDecision.Limited limited) {
    String detail = "the organisation's rate and burst are used up";
    return refusal(ProblemCode.RATE_EXCEEDED, detail, limited.retryAfterMillis());
  }

  private static Flux<AnswerPart> refuse(RateDecision.Unavailable unavailable) {
    String detail = "the organisation's rate can't be told now";
    return refusal(ProblemCode.DECISION_UNAVAILABLE, detail, unavailable.retryAfterMillis());
  }

  private static Flux<AnswerPart> refusal(ProblemCode code, String detail, long retryAfterMillis) {
    return Flux.just(
        new AnswerPart.Refusal(Problem.notRun(code, detail, Math.max(1, retryAfterMillis))));
  }
}
