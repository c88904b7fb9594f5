package org.ragworttide.daemon.relay;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.retry.FailedAttempt;
import org.ragworttide.coordination.retry.NextStep;
import org.ragworttide.coordination.retry.RetryPolicy;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.decision.PlacementRequest;
import org.ragworttide.daemon.upstream.UpstreamClient;
import org.ragworttide.daemon.upstream.UpstreamEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Runs one request, on one upstream after another if attempts fail, until it is answered or
 * refused.
 *
 * <p>Invariants: a non-idempotent request is sent at most once, and is reported as not run only
 * while it holds its claim; nothing is sent after an interruption that reported the request as not
 * run; another upstream continues a stream only after the chunks already delivered. Signals must
 * arrive one at a time; {@link #interrupt} is safe for use by any thread.
 */
final class RequestRun {
  private enum Phase {
    PENDING,
    SENT,
    ABANDONED
  }

  private final CallerRequest request;
  private final RelayPorts ports;
  private final RelaySettings settings;
  private final UpstreamClient client;
  private final RunMetrics metrics;
  private final RetryPolicy retries;
  private final Set<UpstreamId> tried = new HashSet<>();
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.PENDING);
  private volatile boolean exclusive;
  private final HeldSlot heldSlot = new HeldSlot();
  private final StreamProgress progress = new StreamProgress();
  private AnswerPart.Whole withheld;
  private int attempts;

  RequestRun(
      CallerRequest request,
      RelayPorts ports,
      RelaySettings settings,
      UpstreamClient client,
      RunMetrics metrics) {
    this.request = request;
    this.ports = ports;
    this.settings = settings;
    this.client = client;
    this.metrics = metrics;
    this.retries = new RetryPolicy(ports.retries(), settings.maxAttempts());
    this.exclusive = request.upstream().idempotent();
  }

  /**
   * Records that the claim on a non-idempotent request is granted, so that no other run of it
   * exists.
   */
  void recordClaimGranted() {
    exclusive = true;
  }

  /** Runs the request once subscribed; must be subscribed at most once. */
  Flux<AnswerPart> parts() {
    return Flux.defer(this::placeNext).doFinally(unused -> heldSlot.close());
  }

  /** Keeps a request that has not been sent from being sent, and returns its outcome. */
  RunOutcome interrupt() {
    phase.compareAndSet(Phase.PENDING, Phase.ABANDONED);
    return outcome();
  }

  /** Returns whether the request has run, as far as this run can tell. */
  RunOutcome outcome() {
    // Without the claim, another request with the same key may have run or be running.
    boolean mayHaveRun = phase.get() == Phase.SENT || !exclusive;
    return mayHaveRun ? RunOutcome.MAY_HAVE_RUN : RunOutcome.NOT_RUN;
  }

  private boolean markSent() {
    if (phase.compareAndSet(Phase.PENDING, Phase.SENT)) {
      metrics.recordSent();
      return true;
    }
    return phase.get() == Phase.SENT;
  }

  private Flux<AnswerPart> placeNext() {
    if (request.deadline().hasPassed() || phase.get() == Phase.ABANDONED) {
      return refuse(deadlinePassed());
    }
    PlacementRequest placement =
        new PlacementRequest(
            request.chat(),
            request.target(),
            request.organisation(),
            request.deadline(),
            tried,
            request.fingerprint());
    // A placement is not cancelled while in progress, because a slot that arrives late must be
    // released.
    return Mono.fromFuture(
            () -> ports.placement().place(placement).doOnNext(this::holdSlot).toFuture(), true)
        .publishOn(Schedulers.parallel())
        .flatMapMany(this::onDecision);
  }

  private void holdSlot(PlacementDecision decision) {
    if (decision instanceof PlacementDecision.Placed placed) {
      heldSlot.hold(placed.slot());
    }
  }

  private Flux<AnswerPart> onDecision(PlacementDecision decision) {
    return switch (decision) {
      case PlacementDecision.Refused refused -> afterRefusedPlacement(refused);
      case PlacementDecision.Placed placed -> attempt(placed);
    };
  }

  private Flux<AnswerPart> afterRefusedPlacement(PlacementDecision.Refused refused) {
    return withheld == null ? refuse(Refusals.of(refused, outcome())) : Flux.just(withheld);
  }

  private Flux<AnswerPart> attempt(PlacementDecision.Placed placed) {
    attempts++;
    if (attempts == 1) {
      ports.retries().recordFirstAttempt();
    }
    Attempt attempt = new Attempt(request, placed, settings, client, this::markSent, progress);
    return metrics
        .recordAttempt(placed.upstream(), attempt)
        .concatWith(Flux.defer(() -> afterAttempt(placed, attempt.result())));
  }

  private Flux<AnswerPart> afterAttempt(PlacementDecision.Placed placed, AttemptResult result) {
    tried.add(placed.upstream());
    return switch (result) {
      case AttemptResult.Answered answered -> Flux.empty();
      case AttemptResult.Withheld busy -> afterBusy(placed, busy.whole());
      case AttemptResult.Refused refused -> refuse(refused.problem());
      case AttemptResult.Failed failed -> afterFailure(placed, failed.failure());
    };
  }

  private Flux<AnswerPart> afterBusy(PlacementDecision.Placed placed, AnswerPart.Whole whole) {
    withheld = whole;
    return acquireRetry(placed, true) ? placeNext() : Flux.just(whole);
  }

  private Flux<AnswerPart> afterFailure(
      PlacementDecision.Placed placed, UpstreamEvent.Failure failure) {
    if (phase.get() == Phase.ABANDONED) {
      return refuse(deadlinePassed());
    }
    boolean sent = !(failure instanceof UpstreamEvent.NotSent);
    return acquireRetry(placed, sent) ? placeNext() : refuse(Refusals.of(failure, outcome()));
  }

  private boolean acquireRetry(PlacementDecision.Placed placed, boolean sent) {
    long remainingMillis = request.deadline().remainingMillis();
    FailedAttempt failed =
        new FailedAttempt(
            request.upstream().idempotent(),
            sent || progress.hasStarted(),
            progress.deliveredChunks(),
            request.streaming(),
            attempts,
            0,
            remainingMillis);
    NextStep step = retries.decide(failed);
    boolean retry = step instanceof NextStep.Retry || step instanceof NextStep.Resume;
    if (retry) {
      metrics.recordRetry(placed.upstream(), progress.hasStarted());
    }
    return retry;
  }

  private Problem deadlinePassed() {
    return new Problem(ProblemCode.DEADLINE_PASSED, outcome(), "the caller's time is over", 0);
  }

  private Flux<AnswerPart> refuse(Problem problem) {
    return Flux.just(AnswerPart.ending(problem, request.id(), progress.hasStarted()));
  }
}
