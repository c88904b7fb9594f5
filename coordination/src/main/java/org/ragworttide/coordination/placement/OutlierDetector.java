package org.ragworttide.coordination.placement;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Ejects upstreams that fail clearly more often than the others of their service.
 *
 * <p>Handles two cases: an upstream that fails part of its requests while its health check passes,
 * and a service all of whose upstreams fail some requests, where ejecting them would only move the
 * load. An unreachable upstream is ejected at once. A failing upstream is ejected when its recent
 * failure share is high both in absolute terms and relative to the service's mean.
 *
 * <p>Invariant: an ejection has a bounded duration, after which the upstream is tried again.
 * Confined to one thread.
 */
public final class OutlierDetector {
  /**
   * Weight of the newest outcome: about the last seven count, so that two failures do not eject.
   */
  private static final double OUTCOME_WEIGHT = 0.15;

  /** Weight of the newest outcome in the service's failure share: about the last fifty count. */
  private static final double SERVICE_OUTCOME_WEIGHT = 0.02;

  /** Minimum failure share for an ejection; below it the upstream still serves most requests. */
  private static final double HIGH_FAILURE_SHARE = 0.3;

  /** Minimum failure share of an outlier, as a multiple of the service's failure share. */
  private static final double MIN_MULTIPLE_OF_MEAN = 2;

  /** Duration of the first ejection: about the shortest restart of an upstream. */
  private static final long FIRST_EJECTION_MILLIS = 1_000;

  /**
   * Duration of the longest ejection; it is short so that a recovered upstream soon serves again.
   */
  private static final long MAX_EJECTION_MILLIS = 4_000;

  /** Time since the end of the last ejection after which the duration of an ejection is reset. */
  private static final long EJECTION_RESET_MILLIS = 10_000;

  private final Map<UpstreamId, FailureHistory> histories = new HashMap<>();
  private double serviceFailureShare;

  /** Records a successful answer of the upstream. */
  public void recordSuccess(UpstreamId upstream) {
    serviceFailureShare *= 1 - SERVICE_OUTCOME_WEIGHT;
    FailureHistory history = histories.get(upstream);
    if (history != null) {
      history.failureShare *= 1 - OUTCOME_WEIGHT;
    }
  }

  /** Records a failed answer of the upstream. */
  public void recordFailure(UpstreamId upstream, long nowMillis) {
    serviceFailureShare += SERVICE_OUTCOME_WEIGHT * (1 - serviceFailureShare);
    FailureHistory history = history(upstream);
    history.failureShare += OUTCOME_WEIGHT * (1 - history.failureShare);
    if (history.failureShare >= HIGH_FAILURE_SHARE
        && history.failureShare >= MIN_MULTIPLE_OF_MEAN * serviceFailureShare) {
      eject(history, nowMillis);
    }
  }

  /** Records that the upstream could not be reached. */
  public void recordUnreachable(UpstreamId upstream, long nowMillis) {
    eject(history(upstream), nowMillis);
  }

  /**
   * Records that another upstream answers at the upstream's address: the upstream is gone, although
   * its entry may remain listed for seconds.
   */
  public void recordMisdirected(UpstreamId upstream, long nowMillis) {
    eject(history(upstream), nowMillis);
  }

  /** Returns whether the upstream is ejected. */
  public boolean isEjected(UpstreamId upstream, long nowMillis) {
    FailureHistory history = histories.get(upstream);
    return history != null && nowMillis < history.ejectedUntilMillis;
  }

  /** Removes the history of an upstream that is gone or has restarted. */
  public void removeHistory(UpstreamId upstream) {
    histories.remove(upstream);
  }

  private FailureHistory history(UpstreamId upstream) {
    return histories.computeIfAbsent(upstream, id -> new FailureHistory());
  }

  private static void eject(FailureHistory history, long nowMillis) {
    if (nowMillis < history.ejectedUntilMillis) {
      return;
    }
    if (nowMillis - history.ejectedUntilMillis > EJECTION_RESET_MILLIS) {
      history.nextEjectionMillis = FIRST_EJECTION_MILLIS;
    }
    history.ejectedUntilMillis = nowMillis + history.nextEjectionMillis;
    history.nextEjectionMillis = Math.min(MAX_EJECTION_MILLIS, 2 * history.nextEjectionMillis);
    history.failureShare = HIGH_FAILURE_SHARE / 2;
  }

  private static final class FailureHistory {
    private double failureShare;
    private long nextEjectionMillis = FIRST_EJECTION_MILLIS;
    private long ejectedUntilMillis = Long.MIN_VALUE / 2;
  }
}
