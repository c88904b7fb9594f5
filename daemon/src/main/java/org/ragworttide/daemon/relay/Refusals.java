package org.ragworttide.daemon.relay;

import org.ragworttide.daemon.decision.ClaimDecision;
import org.ragworttide.daemon.decision.PlacementDecision;
import org.ragworttide.daemon.upstream.UpstreamEvent;

/** Converts decisions and failures to refusals; stateless, safe for use by any thread. */
final class Refusals {
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private Refusals() {}

  static Problem of(PlacementDecision.Refused refused, RunOutcome outcome) {
    long retryAfterMillis = refused.retryAfterMillis();
    return switch (refused.refusal()) {
      case NO_UPSTREAM, COLD ->
          new Problem(
              ProblemCode.NO_UPSTREAM,
              outcome,
              "no upstream takes the request",
              Math.max(retryAfterMillis, 1));
      case OVERLOADED ->
          new Problem(
              ProblemCode.OVERLOADED,
              outcome,
              "all upstreams are at their limit",
              Math.max(retryAfterMillis, 1));
      case UNKNOWN_MODEL ->
          new Problem(ProblemCode.MODEL_UNKNOWN, outcome, "no engine has the model", 0);
      case QUARANTINED ->
          new Problem(
              ProblemCode.QUARANTINED, outcome, "upstreams that ran it died", retryAfterMillis);
      case DEADLINE_TOO_SHORT ->
          new Problem(ProblemCode.DEADLINE_PASSED, outcome, "the deadline can't be met", 0);
    };
  }

  static Problem of(UpstreamEvent.Failure failure, RunOutcome outcome) {
    return switch (failure) {
      case UpstreamEvent.NotSent notSent ->
          new Problem(
              ProblemCode.NO_UPSTREAM, outcome, "no connection came about", RETRY_AFTER_MILLIS);
      case UpstreamEvent.Lost lost ->
          new Problem(ProblemCode.UPSTREAM_LOST, outcome, "the connection was lost", 0);
      case UpstreamEvent.Stalled stalled ->
          new Problem(ProblemCode.UPSTREAM_LOST, outcome, "the answer stood still", 0);
    };
  }

  static Problem of(ClaimDecision.NotRun notRun) {
    return Problem.notRun(ProblemCode.CLAIM_REFUSED, notRun.reason(), RETRY_AFTER_MILLIS);
  }

  static Problem of(ClaimDecision.OverQuota overQuota) {
    return new Problem(
        ProblemCode.CLAIMS_EXCEEDED,
        RunOutcome.MAY_HAVE_RUN,
        "ask again with the same key",
        overQuota.retryAfterMillis());
  }

  static Problem firstRunning() {
    String detail = "ask again with the same key for its answer";
    return new Problem(
        ProblemCode.FIRST_RUNNING, RunOutcome.MAY_HAVE_RUN, detail, RETRY_AFTER_MILLIS);
  }

  static Problem keyReused() {
    return Problem.notRun(
        ProblemCode.IDEMPOTENCY_KEY_REUSED, "the key came with another request before");
  }

  static Problem firstMayHaveRun() {
    return Problem.mayHaveRun(ProblemCode.FIRST_MAY_HAVE_RUN, "its answer was lost");
  }
}
