package org.ragworttide.coordination.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.time.ManualTimerService;
import org.testng.annotations.Test;

/** Tests retries, resumption and circuit breakers. */
public class RetryTest {
  private static final UpstreamId ENGINE = new UpstreamId("engine");
  private static final UpstreamId OTHER = new UpstreamId("other");

  private static RetryPolicy policy() {
    return new RetryPolicy(new RetryBudget(0.1, 10), 3);
  }

  private static FailedAttempt attempt(
      boolean idempotent, boolean sent, long relayed, boolean resumable) {
    return new FailedAttempt(idempotent, sent, relayed, resumable, 1, 0, 1_000);
  }

  @Test
  public void retriesStayWithinTheirShareOfFirstAttempts() {
    RetryBudget budget = new RetryBudget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.recordFirstAttempt();
      retries += budget.tryRetry() ? 1 : 0;
    }
    assertTrue(retries >= 100 && retries <= 110, "retries " + retries);
  }

  @Test
  public void requestThatIsNotIdempotentRunsAgainOnlyIfNothingWasSent() {
    assertEquals(policy().decide(attempt(false, false, 0, false)), new NextStep.Retry());
    assertEquals(policy().decide(attempt(false, true, 0, false)), new NextStep.EndMayHaveRun());
    assertEquals(policy().decide(attempt(false, true, 5, true)), new NextStep.EndMayHaveRun());
  }

  @Test
  public void startedAnswerIsResumedOrEndedButNeverRestarted() {
    assertEquals(policy().decide(attempt(true, true, 5, true)), new NextStep.Resume(5));
    assertEquals(policy().decide(attempt(true, true, 5, false)), new NextStep.EndMayHaveRun());
  }

  @Test
  public void failureAfterTheDeadlineOrTheLastAttemptEndsTheRequest() {
    FailedAttempt afterDeadline = new FailedAttempt(true, true, 0, false, 1, 1_000, 1_000);
    assertEquals(policy().decide(afterDeadline), new NextStep.EndMayHaveRun());
    FailedAttempt third = new FailedAttempt(true, false, 0, false, 3, 0, 1_000);
    assertEquals(policy().decide(third), new NextStep.EndNotRun());
  }

  @Test
  public void failureWithAnEmptyBudgetEndsTheRequest() {
    RetryPolicy policy = new RetryPolicy(new RetryBudget(0, 1), 3);
    assertEquals(policy.decide(attempt(true, true, 0, false)), new NextStep.Retry());
    assertEquals(policy.decide(attempt(true, true, 0, false)), new NextStep.EndMayHaveRun());
  }

  @Test
  public void budgetWithoutShareAndReserveAllowsNoRetry() {
    RetryBudget budget = new RetryBudget(0, 0);
    budget.recordFirstAttempt();
    assertFalse(budget.tryRetry());
  }

  private static CircuitBreakers tripped(ManualTimerService time, UpstreamId... upstreams) {
    CircuitBreakers breakers = new CircuitBreakers(time, BreakerSettings.DEFAULTS, 1);
    for (UpstreamId upstream : upstreams) {
      assertTrue(breakers.tryEnter(upstream));
      breakers.recordOutcome(upstream, AttemptOutcome.FAILED);
      breakers.leave(upstream);
    }
    return breakers;
  }

  @Test
  public void failingUpstreamReceivesSingleProbes() {
    ManualTimerService time = new ManualTimerService();
    CircuitBreakers breakers = tripped(time, ENGINE);
    assertFalse(breakers.tryEnter(ENGINE));
    time.advance(1_000);
    assertTrue(breakers.tryEnter(ENGINE));
    assertFalse(breakers.tryEnter(ENGINE));
    for (int probe = 0; probe < BreakerSettings.DEFAULTS.closeSuccesses(); probe++) {
      assertFalse(breakers.isClosed(ENGINE));
      breakers.recordOutcome(ENGINE, AttemptOutcome.ANSWERED);
      breakers.leave(ENGINE);
      time.advance(1_000);
      assertTrue(breakers.tryEnter(ENGINE));
    }
    assertTrue(breakers.isClosed(ENGINE));
    assertTrue(breakers.tryEnter(ENGINE) && breakers.tryEnter(ENGINE));
  }

  @Test
  public void requestsFromBeforeOpeningDoNotCountAsProbes() {
    ManualTimerService time = new ManualTimerService();
    CircuitBreakers breakers = new CircuitBreakers(time, BreakerSettings.DEFAULTS, 1);
    for (int i = 0; i < 9; i++) {
      breakers.tryEnter(ENGINE);
    }
    for (int i = 0; i < 8; i++) {
      breakers.recordOutcome(ENGINE, AttemptOutcome.FAILED);
      breakers.leave(ENGINE);
    }
    time.advance(1_000);
    assertTrue(breakers.tryEnter(ENGINE), "the pause grew without a probe");
    breakers.leave(ENGINE);
    assertFalse(breakers.tryEnter(ENGINE), "two probes at a time");
  }

  @Test
  public void failedProbeLengthensThePause() {
    ManualTimerService time = new ManualTimerService();
    CircuitBreakers breakers = tripped(time, ENGINE);
    time.advance(1_000);
    assertTrue(breakers.tryEnter(ENGINE));
    breakers.recordOutcome(ENGINE, AttemptOutcome.FAILED);
    breakers.leave(ENGINE);
    time.advance(999);
    assertFalse(breakers.tryEnter(ENGINE));
    time.advance(1_001);
    assertTrue(breakers.tryEnter(ENGINE));
  }

  @Test
  public void probesStayWithinTheirBudget() {
    ManualTimerService time = new ManualTimerService();
    UpstreamId[] upstreams = new UpstreamId[5];
    for (int i = 0; i < upstreams.length; i++) {
      upstreams[i] = new UpstreamId("engine-" + i);
    }
    CircuitBreakers breakers = tripped(time, upstreams);
    time.advance(5_000);
    int entered = 0;
    for (UpstreamId upstream : upstreams) {
      entered += breakers.tryEnter(upstream) ? 1 : 0;
    }
    assertEquals(entered, BreakerSettings.DEFAULTS.probesPerSecond());
  }

  @Test
  public void busyUpstreamAndFaultyRequestDoNotOpenTheBreaker() {
    CircuitBreakers breakers =
        new CircuitBreakers(new ManualTimerService(), BreakerSettings.DEFAULTS, 1);
    breakers.recordOutcome(ENGINE, AttemptOutcome.BUSY);
    breakers.recordOutcome(ENGINE, AttemptOutcome.REQUEST_AT_FAULT);
    assertTrue(breakers.isClosed(ENGINE));
  }

  @Test
  public void combinedGateLeavesEnteredGatesWhenAnotherRefuses() {
    ManualTimerService time = new ManualTimerService();
    CircuitBreakers first = tripped(time, OTHER);
    CircuitBreakers second = tripped(time, ENGINE);
    time.advance(1_000);
    UpstreamGate gate = UpstreamGate.all(List.of(first, second));
    assertTrue(gate.tryEnter(ENGINE));
    assertFalse(gate.tryEnter(ENGINE));
    assertFalse(gate.tryEnterLocally(ENGINE));
    gate.leave(ENGINE);
    assertTrue(gate.tryEnterLocally(ENGINE));
  }
}
