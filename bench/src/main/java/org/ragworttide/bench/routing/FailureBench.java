package org.ragworttide.bench.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.retry.AttemptOutcome;
import org.ragworttide.coordination.retry.BreakerSettings;
import org.ragworttide.coordination.retry.CircuitBreakers;
import org.ragworttide.coordination.retry.FailedAttempt;
import org.ragworttide.coordination.retry.NextStep;
import org.ragworttide.coordination.retry.RetryBudget;
import org.ragworttide.coordination.retry.RetryPolicy;
import org.ragworttide.coordination.routing.RouteRequest;
import org.ragworttide.coordination.time.ManualTimerService;

/**
 * Measures circuit breakers and retries while one engine is down and another fails half of its
 * requests; the published list shows both as in service throughout.
 *
 * <p>Invariant: the same arguments give the same counts. Confined to one thread.
 */
final class FailureBench {
  private static final int DEAD = 4;
  private static final int FLAKY = 7;
  private static final int MAX_ATTEMPTS = 3;
  private static final double RETRY_SHARE = 0.1;
  private static final int RETRY_RESERVE = 10;

  long requests;
  long failedAttempts;
  long retries;
  long failedRequests;
  private final FleetSize size;
  private final ManualTimerService time = new ManualTimerService();
  private final SplittableRandom random;
  private final List<CircuitBreakers> breakers = new ArrayList<>();
  private final List<RetryPolicy> policies = new ArrayList<>();
  private final List<RetryBudget> budgets = new ArrayList<>();
  private final RouterStrategy routers;
  private final int[] inFlight;

  FailureBench(FleetSize size, long seed, BreakerSettings settings) {
    this.size = size;
    this.random = new SplittableRandom(seed);
    this.inFlight = new int[size.engines()];
    for (int i = 0; i < size.daemons(); i++) {
      RetryBudget budget = new RetryBudget(RETRY_SHARE, RETRY_RESERVE);
      breakers.add(new CircuitBreakers(time, settings, random.nextLong()));
      budgets.add(budget);
      policies.add(new RetryPolicy(budget, MAX_ATTEMPTS));
    }
    this.routers = RouterStrategy.gated(size, time, breakers::get);
  }

  FailureBench run() {
    for (int engine = 0; engine < size.engines(); engine++) {
      int index = engine;
      time.every(1_000, () -> routers.recordLoad(index, 1, time.nowMillis(), inFlight[index]));
    }
    new Arrivals(time, random, size.requestsPerSecond(), this::arrive).start();
    time.advance(size.seconds() * 1_000L);
    return this;
  }

  long probes() {
    return breakers.stream().mapToLong(CircuitBreakers::probes).sum();
  }

  private void arrive() {
    int daemon = random.nextInt(size.daemons());
    requests++;
    budgets.get(daemon).recordFirstAttempt();
    attempt(daemon, "chat-" + random.nextInt(1_000_000), new HashSet<>());
  }

  private void attempt(int daemon, String chat, Set<UpstreamId> tried) {
    RouteRequest request =
        new RouteRequest(
            new ChatId(chat), RouterStrategy.MODEL, RouterStrategy.ORGANISATION, Set.copyOf(tried));
    Strategy.Choice choice = routers.choose(daemon, request);
    if (choice == null) {
      failedRequests++;
      return;
    }
    int engine = choice.engine();
    boolean fails = engine == DEAD || engine == FLAKY && random.nextBoolean();
    AttemptOutcome outcome = fails ? AttemptOutcome.FAILED : AttemptOutcome.ANSWERED;
    breakers.get(daemon).recordOutcome(RouterStrategy.id(engine), outcome);
    if (!fails) {
      inFlight[engine]++;
      time.after((long) size.answerMillis(), () -> end(choice));
      return;
    }
    failedAttempts++;
    choice.release().run();
    tried.add(RouterStrategy.id(engine));
    FailedAttempt failed = new FailedAttempt(true, true, 0, false, tried.size(), 0, 1_000);
    if (policies.get(daemon).decide(failed) instanceof NextStep.Retry) {
      retries++;
      attempt(daemon, chat, tried);
    } else {
      failedRequests++;
    }
  }

  private void end(Strategy.Choice choice) {
    inFlight[choice.engine()]--;
    choice.release().run();
  }
}
