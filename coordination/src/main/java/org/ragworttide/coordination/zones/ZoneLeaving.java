package org.ragworttide.coordination.zones;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.ragworttide.coordination.id.VmId;

/**
 * Decides which share of the requests to each plain service leaves the availability zone.
 *
 * <p>Handles services with a few small upstreams, one or two in a zone, whose demand rises in one
 * zone after the other and comes in clumps. A VM of a large fleet sends one of them a request every
 * few seconds, so it knows neither their load nor their speed. The VMs of a zone state to each
 * other what callers have lost by waiting: nothing with an answer inside the latency objective. All
 * compare the same losses, so the sum of what leaves is right without a leader. While callers lose
 * more in the own zone than in others by more than the price of the way, the share rises; while
 * they lose less than that in the own zone, it falls; in between it stays.
 *
 * <p>Invariants: the share is between 0 and the greatest one of the settings; only statements of
 * the last four seconds count, of each VM the newest. Confined to one thread.
 */
public final class ZoneLeaving {
  /**
   * Loss of a request that a full upstream rejects: the mean time after which a refused caller is
   * asked to try again.
   */
  public static final int REJECTION_MILLIS = 250;

  /** Services in a statement, those with the most requests. */
  static final int MAX_STATED_SERVICES = 4;

  /** Interval between changes of the shares. */
  public static final long STEP_MILLIS = 500;

  /** Rise in a step: a zone that runs short shares its requests within two seconds. */
  private static final double RISE = 0.2;

  /** Fall in a step: requests come back over many seconds, so that no zone is flooded. */
  private static final double FALL = 0.03;

  /** Requests below which nothing is known. */
  private static final int MIN_REQUESTS = 8;

  /** Requests to other zones below which nothing speaks against them. */
  private static final int MIN_FAR_REQUESTS = 3;

  /** Least loss of the own zone that counts as a shortage: that of two rejected requests. */
  private static final int MIN_LOSS_MILLIS = 2 * REJECTION_MILLIS;

  /** Milliseconds for which a statement counts: the time that it describes. */
  private static final long STATEMENT_LIFETIME_MILLIS =
      LossWindow.BUCKET_MILLIS * LossWindow.BUCKETS;

  private final double crossingMillis;
  private final double maxShare;
  private final Map<Integer, LossWindow> windows = new HashMap<>();
  private final Map<Integer, Double> shares = new HashMap<>();
  private final Map<VmId, Statement> statements = new HashMap<>();

  private record Statement(Map<Integer, ZoneLosses> losses, long receivedAtMillis) {}

  /**
   * Creates shares of zero.
   *
   * @param crossingMillis the price of the way: milliseconds that callers rather wait than leave
   * @param maxShare the greatest share that leaves, 0 to 1
   */
  public ZoneLeaving(double crossingMillis, double maxShare) {
    if (!(crossingMillis >= 0) || !(maxShare >= 0 && maxShare <= 1)) {
      throw new IllegalArgumentException("crossingMillis or maxShare is out of range");
    }
    this.crossingMillis = crossingMillis;
    this.maxShare = maxShare;
  }

  /**
   * Records what a caller has lost by a request.
   *
   * @param service the key of the service
   * @param near whether it was sent to an upstream of the own zone
   * @param millis the time by which the answer was later than the latency objective, or {@link
   *     #REJECTION_MILLIS} if the upstream rejected the request
   */
  public void record(int service, boolean near, long millis, long nowMillis) {
    int loss = (int) Math.clamp(millis, 0, Short.MAX_VALUE);
    windows
        .computeIfAbsent(service, key -> new LossWindow())
        .add(near ? new ZoneLosses(1, loss, 0, 0) : new ZoneLosses(0, 0, 1, loss), nowMillis);
  }

  /** Records what another VM of the own zone states, which replaces its earlier statement. */
  public void recordStatement(VmId vm, Map<Integer, ZoneLosses> losses, long nowMillis) {
    statements.put(vm, new Statement(Map.copyOf(losses), nowMillis));
  }

  /** Returns the losses of this VM's requests, for the other VMs of its zone. */
  public Map<Integer, ZoneLosses> nextStatement(long nowMillis) {
    Map<Integer, ZoneLosses> all = new HashMap<>();
    windows.forEach(
        (service, window) -> {
          ZoneLosses sum = window.sum(nowMillis);
          if (sum.requests() > 0) {
            all.put(service, sum);
          }
        });
    Map<Integer, ZoneLosses> busiest = new LinkedHashMap<>();
    all.entrySet().stream()
        .sorted(
            Comparator.comparingInt((Map.Entry<Integer, ZoneLosses> it) -> it.getValue().requests())
                .reversed())
        .limit(MAX_STATED_SERVICES)
        .forEach(it -> busiest.put(it.getKey(), it.getValue()));
    return busiest;
  }

  /** Moves each share by one step; to be called every {@link #STEP_MILLIS}. */
  public void step(long nowMillis) {
    statements
        .values()
        .removeIf(it -> nowMillis - it.receivedAtMillis() > STATEMENT_LIFETIME_MILLIS);
    windows.forEach(
        (service, window) -> {
          ZoneLosses losses = window.sum(nowMillis);
          for (Statement statement : statements.values()) {
            losses = losses.plus(statement.losses().getOrDefault(service, ZoneLosses.NONE));
          }
          double share = shares.getOrDefault(service, 0.0) + change(losses);
          shares.put(service, Math.clamp(share, 0, maxShare));
        });
  }

  private double change(ZoneLosses losses) {
    if (losses.requests() < MIN_REQUESTS || losses.nearRequests() == 0) {
      return 0;
    }
    double far = losses.farRequests() < MIN_FAR_REQUESTS ? 0 : losses.farMean();
    boolean isShort = losses.nearMillis() >= MIN_LOSS_MILLIS;
    if (isShort && losses.nearMean() - far > crossingMillis) {
      return RISE;
    }
    return losses.nearMean() <= crossingMillis ? -FALL : 0;
  }

  /** Returns the share of the requests to the service that leaves the zone. */
  public double share(int service) {
    return shares.getOrDefault(service, 0.0);
  }
}
