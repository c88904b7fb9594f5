package org.ragworttide.daemon.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.daemon.decision.ClaimDecision;
import org.ragworttide.daemon.decision.ClaimHandle;
import org.ragworttide.daemon.decision.Claims;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Runs a non-idempotent request under a claim on its key.
 *
 * <p>Invariants: the run begins only when the claim is granted, and the outcome of every granted
 * run is reported to its handle. Once the request is sent, the run continues even without its
 * caller until it is answered or the late-answer time has passed, so that a caller that retries
 * learns its outcome. Signals may arrive on any thread.
 */
final class ClaimedRun {
  private static final OrganisationId OPEN_ROUTES = new OrganisationId("(open routes)");
  private static final String REPLAYED = "Idempotent-Replayed";

  private final CallerRequest request;
  private final RequestRun run;
  private final Claims claims;
  private final RelaySettings settings;
  private final InFlightCounter inFlightRuns;

  ClaimedRun(
      CallerRequest request,
      RequestRun run,
      Claims claims,
      RelaySettings settings,
      InFlightCounter inFlightRuns) {
    this.request = request;
    this.run = run;
    this.claims = claims;
    this.settings = settings;
    this.inFlightRuns = inFlightRuns;
  }

  /** Returns the single part of the answer; cancelling keeps an unsent request from being sent. */
  Flux<AnswerPart> parts(Flux<AnswerPart> granted) {
    return Flux.defer(
        () -> {
          inFlightRuns.increment();
          Mono<AnswerPart> answer =
              claim()
                  .flatMap(decision -> onDecision(decision, granted))
                  .doFinally(unused -> inFlightRuns.decrement());
          return Mono.fromFuture(answer.toFuture(), true).doOnCancel(run::interrupt).flux();
        });
  }

  private Mono<ClaimDecision> claim() {
    return claims
        .claim(request.organisation().orElse(OPEN_ROUTES), request.key().orElseThrow())
        .publishOn(Schedulers.parallel());
  }

  private Mono<AnswerPart> onDecision(ClaimDecision decision, Flux<AnswerPart> granted) {
    return switch (decision) {
      case ClaimDecision.Granted grant -> {
        run.recordClaimGranted();
        yield run(grant.handle(), granted);
      }
      case ClaimDecision.FirstAnswer first ->
          FingerprintedBody.matches(first.body(), request.fingerprint())
              ? Mono.just(replay(first))
              : refuse(Refusals.keyReused());
      case ClaimDecision.FirstRunning running -> refuse(Refusals.firstRunning());
      case ClaimDecision.MayHaveRun mayHaveRun -> refuse(Refusals.firstMayHaveRun());
      case ClaimDecision.OverQuota overQuota -> refuse(Refusals.of(overQuota));
      case ClaimDecision.NotRun notRun -> refuse(Refusals.of(notRun));
    };
  }

  private Mono<AnswerPart> run(ClaimHandle handle, Flux<AnswerPart> granted) {
    Duration timeLimit = request.deadline().remaining().plusMillis(settings.lateAnswerMillis());
    return granted
        .single()
        .timeout(timeLimit)
        .doOnNext(part -> report(handle, part))
        .doOnError(error -> report(handle, run.interrupt()));
  }

  private static Mono<AnswerPart> refuse(Problem problem) {
    return Mono.just(new AnswerPart.Refusal(problem));
  }

  private static AnswerPart replay(ClaimDecision.FirstAnswer first) {
    HttpHeaders headers = new DefaultHttpHeaders().set(REPLAYED, "true");
    if (!first.contentType().isEmpty()) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, first.contentType());
    }
    return new AnswerPart.Whole(first.status(), headers, FingerprintedBody.unwrap(first.body()));
  }

  private void report(ClaimHandle handle, AnswerPart part) {
    switch (part) {
      case AnswerPart.Whole whole ->
          handle.reportCompleted(
              whole.status(),
              whole.headers().get(HttpHeaderNames.CONTENT_TYPE, ""),
              FingerprintedBody.wrap(request.fingerprint(), whole.body()));
      case AnswerPart.Refusal refusal -> report(handle, refusal.problem().outcome());
      case AnswerPart.StreamHead head -> handle.reportMayHaveRun();
      case AnswerPart.StreamEvent event -> handle.reportMayHaveRun();
      case AnswerPart.StreamFailure failure -> handle.reportMayHaveRun();
    }
  }

  private static void report(ClaimHandle handle, RunOutcome outcome) {
    if (outcome == RunOutcome.NOT_RUN) {
      handle.reportNotRun();
    } else {
      handle.reportMayHaveRun();
    }
  }
}
