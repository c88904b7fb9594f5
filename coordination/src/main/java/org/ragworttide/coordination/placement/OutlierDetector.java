package org.ragworttide.coordination.placement;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Takes upstreams out that fail clearly more often than the others of their service.
 *
 * <p>Answers two patterns: an upstream that fails part of its requests while its health check is
 * good, and a service all of whose upstreams fail some requests, where taking them out would only
 * move the load. An unreachable upstream is out at once; one that fails answers is out when its
 * recent share of failures is high in itself and against the service's mean.
 *
 * <p>Invariant: an upstream is out for a bounded time, after which it is tried again. Confined to
 * one thread.
 */
public final class OutlierDetector {
  /** Weight of the newest outcome: about the last seven count, so that two failures are none. */
  private static final double OUTCOME_WEIGHT = 0.15;

  /** Weight of the newest outcome in the service's share: about the last fifty count. */
  private static final double SERVICE_OUTCOME_WEIGHT = 0.02;

  /** Share of failures from which an upstream may be out; below, it still serves most. */
  private static final double HIGH_FAILURE_SHARE = 0.3;

  /** Multiple of the service's share of failures that makes an outlier. */
  private static final double MULTIPLE_OF_MEAN = 2;

  /** Milliseconds of the first time out: about the shortest restart of an upstream. */
  private static final long FIRST_PAUSE_MILLIS = 1_000;

  /** Milliseconds of the longest time out, so that a healed upstream is missed for a short time. */
  private static final long LONGEST_PAUSE_MILLIS = 4_000;

  /** Milliseconds without a failure after which an upstream's pauses start anew. */
  private static final long FORGET_MILLIS = 10_000;

  private final Map<UpstreamId, Record> records = new HashMap<>();
  private double serviceFailureShare;

  /** Notes an answer of the upstream. */
  public void answered(UpstreamId upstream) {
    serviceFailureShare *= 1 - SERVICE_OUTCOME_WEIGHT;
    Record known = records.get(upstream);
    if (known != null) {
      known.failureShare *= 1 - OUTCOME_WEIGHT;
    }
  }

  /** Notes a failed answer of the upstream. */
  public void failed(UpstreamId upstream, long nowMillis) {
    serviceFailureShare += SERVICE_OUTCOME_WEIGHT * (1 - serviceFailureShare);
    Record known = record(upstream);
    known.failureShare += OUTCOME_WEIGHT * (1 - known.failureShare);
    if (known.failureShare >= HIGH_FAILURE_SHARE
        && known.failureShare >= MULTIPLE_OF_MEAN * serviceFailureShare) {
      takeOut(known, nowMillis);
    }
  }

  /** Notes that the upstream could not be reached. */
  public void unreachable(UpstreamId upstream, long nowMillis) {
    takeOut(record(upstream), nowMillis);
  }

  /**
   * Notes that another upstream answers at the upstream's address: it is gone, though its entry may
   * stand for seconds.
   */
  public void misdirected(UpstreamId upstream, long nowMillis) {
    takeOut(record(upstream), nowMillis);
  }

  /** Tells whether the upstream is out. */
  public boolean isOut(UpstreamId upstream, long nowMillis) {
    Record known = records.get(upstream);
    return known != null && nowMillis < known.outUntilMillis;
  }

  /** Forgets the upstream, which is gone or has started anew. */
  public void forget(UpstreamId upstream) {
    records.remove(upstream);
  }

  private Record record(UpstreamId upstream) {
    return records.computeIfAbsent(upstream, id -> new Record());
  }

  private static void takeOut(Record known, long nowMillis) {
    if (nowMillis < known.outUntilMillis) {
      return;
    }
    if (nowMillis - known.outUntilMillis > FORGET_MILLIS) {
      known.pauseMillis = FIRST_PAUSE_MILLIS;
    }
    known.outUntilMillis = nowMillis + known.pauseMillis;
    known.pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, 2 * known.pauseMillis);
    known.failureShare = HIGH_FAILURE_SHARE / 2;
  }

  private static final class Record {
    private double failureShare;
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long outUntilMillis = Long.MIN_VALUE / 2;
  }
}
