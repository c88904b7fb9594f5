package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Checks all admissions of the fleet and measures the excess over burst plus rate times window.
 *
 * <p>Invariant: the level of a reference bucket becomes negative exactly when some window has more
 * admissions than allowed. Not safe for use by several threads.
 */
public final class RateChecker {
  private final Map<OrganisationId, Reference> references = new HashMap<>();
  private final Set<String> counted = new HashSet<>();
  private double overshoot;

  /** Sets the limit of an organisation, which starts with a full reference bucket. */
  public void setLimit(OrganisationId organisation, RateLimit limit, long nowMillis) {
    Reference existing = references.get(organisation);
    double level = existing == null ? limit.burst() : existing.levelAt(nowMillis);
    references.put(organisation, new Reference(limit, Math.min(level, limit.burst()), nowMillis));
  }

  /** Records an admission; a retry of a counted request is not counted. */
  public void recordAdmission(OrganisationId organisation, String request, long nowMillis) {
    if (!counted.add(organisation + "/" + request)) {
      return;
    }
    Reference reference = references.get(organisation);
    double level = reference.levelAt(nowMillis) - 1;
    references.put(organisation, new Reference(reference.limit, level, nowMillis));
    overshoot = Math.max(overshoot, -level);
  }

  /** Returns whether a request at the given time is within rate and burst. */
  public boolean isWithinLimit(OrganisationId organisation, long nowMillis) {
    return references.get(organisation).levelAt(nowMillis) >= 1;
  }

  /** Returns the largest excess over any window, in requests; zero when the limits held. */
  public double overshoot() {
    return overshoot < 1e-6 ? 0 : overshoot;
  }

  private record Reference(RateLimit limit, double level, long atMillis) {
    private double levelAt(long nowMillis) {
      return Math.min(limit.burst(), level + limit.ratePerSecond() * (nowMillis - atMillis) / 1000);
    }
  }
}
