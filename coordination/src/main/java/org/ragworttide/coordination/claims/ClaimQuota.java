package org.ragworttide.coordination.claims;

import java.util.HashMap;
import java.util.Map;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.time.TimerService;

/**
 * Rate limit for new claims of this VM, shared fairly between organisations.
 *
 * <p>Invariants: in any window of time, at most burst plus rate times window claims begin; only
 * organisations that have recently begun no more claims than the others on average may use the last
 * quarter of the burst. Used on the coordination thread only.
 */
public final class ClaimQuota {
  private static final int BURST_SECONDS = 60;
  private static final double RESERVED_SHARE = 0.25;
  private static final double DECAY_MILLIS = 60_000;
  private static final double MIN_RECENT_CLAIMS = 0.01;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final TimerService time;
  private final double claimsPerSecond;
  private final double burst;
  private final Map<OrganisationId, Double> recentClaims = new HashMap<>();
  private double availableClaims;
  private long updatedAtMillis;

  /**
   * Creates a full quota.
   *
   * @param time the timer service
   * @param claimsPerSecond the number of claims that may begin per second in the long run, positive
   */
  public ClaimQuota(TimerService time, double claimsPerSecond) {
    if (!(claimsPerSecond > 0)) {
      throw new IllegalArgumentException("claimsPerSecond must be positive");
    }
    this.time = time;
    this.claimsPerSecond = claimsPerSecond;
    this.burst = Math.max(2, claimsPerSecond * BURST_SECONDS);
    this.availableClaims = burst;
    this.updatedAtMillis = time.nowMillis();
  }

  /**
   * Consumes one claim of the quota if the organisation may begin one now; returns whether it may.
   */
  public boolean tryBegin(OrganisationId organisation) {
    update();
    recentClaims.putIfAbsent(organisation, 0.0);
    boolean usesReserve = availableClaims - 1 < burst * RESERVED_SHARE;
    if (availableClaims < 1 || (usesReserve && !isAtMostAverageOfOthers(organisation))) {
      return false;
    }
    availableClaims -= 1;
    recentClaims.merge(organisation, 1.0, Double::sum);
    return true;
  }

  /** Returns how long a refused organisation should wait before it tries again. */
  public long retryAfterMillis() {
    return (long) Math.ceil(MILLIS_PER_SECOND / claimsPerSecond);
  }

  private boolean isAtMostAverageOfOthers(OrganisationId organisation) {
    double own = recentClaims.get(organisation);
    double all = recentClaims.values().stream().mapToDouble(Double::doubleValue).sum();
    double others = (all - own) / Math.max(1, recentClaims.size() - 1);
    return own <= others;
  }

  private void update() {
    long now = time.nowMillis();
    long elapsed = now - updatedAtMillis;
    if (elapsed <= 0) {
      return;
    }
    updatedAtMillis = now;
    availableClaims =
        Math.min(burst, availableClaims + elapsed * claimsPerSecond / MILLIS_PER_SECOND);
    double decayFactor = Math.exp(-elapsed / DECAY_MILLIS);
    recentClaims.replaceAll((organisation, claims) -> claims * decayFactor);
    recentClaims.values().removeIf(claims -> claims < MIN_RECENT_CLAIMS);
  }
}
