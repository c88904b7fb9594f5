package org.ragworttide.coordination.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.time.TimerService;

/**
 * Keeps requests away from upstreams that fail, and lets single requests probe them.
 *
 * <p>Invariants: one probe at a time is in flight at an upstream whose breaker is not closed, and
 * probes over all upstreams stay within the budget a second. Confined to the coordination thread.
 */
public final class CircuitBreakers implements UpstreamGate {
  private static final long BUDGET_WINDOW_MILLIS = 1_000;

  private final TimerService time;
  private final BreakerSettings settings;
  private final SplittableRandom random;
  private final Map<UpstreamId, Breaker> open = new HashMap<>();
  private final Map<UpstreamId, Integer> failures = new HashMap<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
  private long windowStartMillis;
  private int probesInWindow;
  private long probes;

  /**
   * Creates breakers that are all closed.
   *
   * @param time the time
   * @param settings the settings
   * @param seed for spreading the probes of the daemons over time
   */
  public CircuitBreakers(TimerService time, BreakerSettings settings, long seed) {
    this.time = time;
    this.settings = settings;
    this.random = new SplittableRandom(seed);
    this.windowStartMillis = time.nowMillis();
  }

  @Override
  public boolean tryEnter(UpstreamId upstream) {
    Breaker breaker = open.isEmpty() ? null : open.get(upstream);
    if (breaker == null) {
      inFlight.merge(upstream, 1, Integer::sum);
      return true;
    }
    long now = time.nowMillis();
    if (breaker.probing || now < breaker.retryAtMillis || !takeProbe(now)) {
      return false;
    }
    breaker.probing = true;
    probes++;
    inFlight.merge(upstream, 1, Integer::sum);
    return true;
  }

  @Override
  public void leave(UpstreamId upstream) {
    Breaker breaker = open.get(upstream);
    if (breaker != null && breaker.older > 0) {
      breaker.older--;
    } else if (breaker != null) {
      breaker.probing = false;
    }
    inFlight.computeIfPresent(upstream, (id, count) -> count > 1 ? count - 1 : null);
  }

  /** Notes how an attempt went; called before the attempt's slot is released. */
  public void outcome(UpstreamId upstream, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.ANSWERED) {
      answered(upstream);
    } else if (outcome == AttemptOutcome.FAILED) {
      failed(upstream);
    }
  }

  /** Tells whether the upstream's breaker is closed. */
  public boolean isClosed(UpstreamId upstream) {
    return !open.containsKey(upstream);
  }

  /** Returns how many probes were started. */
  public long probes() {
    return probes;
  }

  private void answered(UpstreamId upstream) {
    failures.remove(upstream);
    Breaker breaker = open.get(upstream);
    if (breaker == null || !breaker.probing) {
      return;
    }
    breaker.successes++;
    if (breaker.successes >= settings.closeSuccesses()) {
      open.remove(upstream);
    }
  }

  private void failed(UpstreamId upstream) {
    Breaker breaker = open.get(upstream);
    if (breaker != null && !breaker.probing) {
      return;
    }
    if (breaker != null) {
      breaker.successes = 0;
      breaker.pauseMillis = Math.min(settings.longestPauseMillis(), 2 * breaker.pauseMillis);
      breaker.retryAtMillis = time.nowMillis() + spread(breaker.pauseMillis);
    } else if (failures.merge(upstream, 1, Integer::sum) >= settings.tripFailures()) {
      failures.remove(upstream);
      long pause = settings.firstPauseMillis();
      open.put(
          upstream,
          new Breaker(pause, time.nowMillis() + spread(pause), inFlight.getOrDefault(upstream, 0)));
    }
  }

  private long spread(long pauseMillis) {
    return pauseMillis / 2 + random.nextLong(pauseMillis / 2 + 1);
  }

  private boolean takeProbe(long now) {
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
    private int older;
    private int successes;

    private Breaker(long pauseMillis, long retryAtMillis, int older) {
      this.older = older;
      this.pauseMillis = pauseMillis;
      this.retryAtMillis = retryAtMillis;
    }
  }
}
