package org.ragworttide.coordination.claims;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.time.TimerService;

/**
 * Shares what this VM may spend on new claims between organisations.
 *
 * <p>Invariants: in any window no more claims begin than the burst and the rate times the window;
 * the last quarter of the burst goes only to organisations that have begun no more claims lately
 * than the others on average. Used on the coordination thread only.
 */
public final class ClaimQuota {
  private static final int BURST_SECONDS = 60;
  private static final double RESERVED_SHARE = 0.25;
  private static final double MEMORY_MILLIS = 60_000;
  private static final double FORGOTTEN_CLAIMS = 0.01;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final TimerService time;
  private final double claimsPerSecond;
  private final double burst;
  private final Map<OrganisationId, Double> recent = new HashMap<>();
  private double level;
  private long updatedMillis;

  /**
   * Creates a full quota.
   *
   * @param time the time
   * @param claimsPerSecond claims that may begin a second in the long run, positive
   */
  public ClaimQuota(TimerService time, double claimsPerSecond) {
    if (!(claimsPerSecond > 0)) {
      throw new IllegalArgumentException("claimsPerSecond must be positive");
    }
    this.time = time;
    this.claimsPerSecond = claimsPerSecond;
    this.burst = Math.max(2, claimsPerSecond * BURST_SECONDS);
    this.level = burst;
    this.updatedMillis = time.nowMillis();
  }

  /** Takes one claim out of the quota, if the organisation may begin one now. */
  public boolean tryBegin(OrganisationId organisation) {
    update();
    recent.putIfAbsent(organisation, 0.0);
    boolean reserved = level - 1 < burst * RESERVED_SHARE;
    if (level < 1 || (reserved && !isBelowOthers(organisation))) {
      return false;
    }
    level -= 1;
    recent.merge(organisation, 1.0, Double::sum);
    return true;
  }

  /** Returns for how long a refused organisation should wait before it asks again. */
  public long retryAfterMillis() {
    return (long) Math.ceil(MILLIS_PER_SECOND / claimsPerSecond);
  }

  private boolean isBelowOthers(OrganisationId organisation) {
    double own = recent.get(organisation);
    double all = recent.values().stream().mapToDouble(Double::doubleValue).sum();
    double others = (all - own) / Math.max(1, recent.size() - 1);
    return own <= others;
  }

  private void update() {
    long now = time.nowMillis();
    long elapsed = now - updatedMillis;
    if (elapsed <= 0) {
      return;
    }
    updatedMillis = now;
    level = Math.min(burst, level + elapsed * claimsPerSecond / MILLIS_PER_SECOND);
    double kept = Math.exp(-elapsed / MEMORY_MILLIS);
    recent.replaceAll((organisation, claims) -> claims * kept);
    recent.values().removeIf(claims -> claims < FORGOTTEN_CLAIMS);
  }
}
