package org.ragworttide.coordination.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.time.TimerService;

/**
 * Circuit breakers that keep requests away from failing upstreams and let single requests probe
 * them.
 *
 * <p>Invariants: at most one probe is in flight at an upstream whose breaker is not closed, and the
 * probes over all upstreams stay within the budget per second. Confined to the coordination thread.
 */
public final class CircuitBreakers implements UpstreamGate {
  private static final long BUDGET_WINDOW_MILLIS = 1_000;

  private final TimerService time;
  private final BreakerSettings settings;
  private final SplittableRandom random;
  private final Map<UpstreamId, Breaker> openBreakers = new HashMap<>();
  private final Map<UpstreamId, Integer> consecutiveFailures = new HashMap<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
  private long windowStartMillis;
  private int probesInWindow;
  private long probes;

  /**
   * Creates the breakers, all closed.
   *
   * @param time the timer service
   * @param settings the settings
   * @param seed the seed of the jitter that spreads the probes of the daemons over time
   */
  public CircuitBreakers(TimerService time, BreakerSettings settings, long seed) {
    this.time = time;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.windowStartMillis = time.nowMillis();
  }

  @Override
  public boolean tryEnter(UpstreamId upstream) {
    Breaker breaker = openBreakers.isEmpty() ? null : openBreakers.get(upstream);
    if (breaker == null) {
      inFlight.merge(upstream, 1, Integer::sum);
      return true;
    }
    long now = time.nowMillis();
    if (breaker.probing || now < breaker.retryAtMillis || !tryConsumeProbe(now)) {
      return false;
    }
    breaker.probing = true;
    probes++;
    inFlight.merge(upstream, 1, Integer::sum);
    return true;
  }

  @Override
  public void leave(UpstreamId upstream) {
    Breaker breaker = openBreakers.get(upstream);
    if (breaker != null && breaker.requestsFromBeforeOpening > 0) {
      breaker.requestsFromBeforeOpening--;
    } else if (breaker != null) {
      breaker.probing = false;
    }
    inFlight.computeIfPresent(upstream, (id, count) -> count > 1 ? count - 1 : null);
  }

  /** Records the outcome of an attempt; called before the attempt's slot is released. */
  public void recordOutcome(UpstreamId upstream, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.ANSWERED) {
      onAnswered(upstream);
    } else if (outcome == AttemptOutcome.FAILED) {
      onFailed(upstream);
    }
  }

  /** Returns whether the upstream's breaker is closed. */
  public boolean isClosed(UpstreamId upstream) {
    return !openBreakers.containsKey(upstream);
  }

  /** Returns the number of probes started so far. */
  public long probes() {
    return probes;
  }

  private void onAnswered(UpstreamId upstream) {
    consecutiveFailures.remove(upstream);
    Breaker breaker = openBreakers.get(upstream);
    if (breaker == null || !breaker.probing) {
      return;
    }
    breaker.successes++;
    if (breaker.successes >= settings.closeSuccesses()) {
      openBreakers.remove(upstream);
    }
  }

  private void onFailed(UpstreamId upstream) {
    Breaker breaker = openBreakers.get(upstream);
    if (breaker != null && !breaker.probing) {
      return;
    }
    if (breaker != null) {
      breaker.successes = 0;
      breaker.pauseMillis = Math.min(settings.longestPauseMillis(), 2 * breaker.pauseMillis);
      breaker.retryAtMillis = time.nowMillis() + jitter(breaker.pauseMillis);
    } else if (consecutiveFailures.merge(upstream, 1, Integer::sum) >= settings.tripFailures()) {
      consecutiveFailures.remove(upstream);
      long pause = settings.firstPauseMillis();
      openBreakers.put(
          upstream,
          new Breaker(pause, time.nowMillis() + jitter(pause), inFlight.getOrDefault(upstream, 0)));
    }
  }

  private long jitter(long pauseMillis) {
    return pauseMillis / 2 + random.nextLong(pauseMillis / 2 + 1);
  }

  private boolean tryConsumeProbe(long now) {
    if (now - windowStartMillis >= BUDGET_WINDOW_MILLIS) {
      windowStartMillis = now;
      probesInWindow = 0;
    }
    if (probesInWindow >= settings.probesPerSecond()) {
      return false;
    }
    probesInWindow++;
    return true;
  }

  private static final class Breaker {
    private long pauseMillis;
    private long retryAtMillis;
    private boolean probing;
    private int requestsFromBeforeOpening;
    private int successes;

    private Breaker(long pauseMillis, long retryAtMillis, int requestsFromBeforeOpening) {
      this.requestsFromBeforeOpening = requestsFromBeforeOpening;
      this.pauseMillis = pauseMillis;
      this.retryAtMillis = retryAtMillis;
    }
  }
}
