package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.id.OrganisationId;

/**
 * Follows all admissions of the fleet and measures what exceeds burst plus rate times window.
 *
 * <p>Invariant: a reference bucket runs empty exactly when some window holds more than it may. Not
 * safe for use by several threads.
 */
public final class RateChecker {
  private final Map<OrganisationId, Reference> references = new HashMap<>();
  private final Set<String> counted = new HashSet<>();
  private double overshoot;

  /** Starts to follow an organisation, or changes its limit. */
  public void limit(OrganisationId organisation, RateLimit limit, long nowMillis) {
    Reference known = references.get(organisation);
    double level = known == null ? limit.burst() : known.levelAt(nowMillis);
    references.put(organisation, new Reference(limit, Math.min(level, limit.burst()), nowMillis));
  }

  /** Takes in an admission; a retry of a counted request does not count. */
  public void admitted(OrganisationId organisation, String request, long nowMillis) {
    if (!counted.add(organisation + "/" + request)) {
      return;
    }
    Reference reference = references.get(organisation);
    double level = reference.levelAt(nowMillis) - 1;
    references.put(organisation, new Reference(reference.limit, level, nowMillis));
    overshoot = Math.max(overshoot, -level);
  }

  /** Returns whether a request would be inside rate and burst now. */
  public boolean isInside(OrganisationId organisation, long nowMillis) {
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
