package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.OrganisationId;

/** Holds the shares of the limits in force; not safe for use by several threads. */
final class LimitTable {
  private final LimitSettings settings;
  private Map<OrganisationId, LimitShares> shares = Map.of();

  LimitTable(LimitSettings settings) {
    this.settings = settings;
  }

  LimitSettings settings() {
    return settings;
  }

  void replace(Map<OrganisationId, RateLimit> limits) {
    Map<OrganisationId, LimitShares> next = HashMap.newHashMap(limits.size());
    limits.forEach((id, limit) -> next.put(id, LimitShares.of(limit, settings)));
    shares = next;
  }

  Optional<LimitShares> shares(OrganisationId organisation) {
    return Optional.ofNullable(shares.get(organisation));
  }

  Set<OrganisationId> organisations() {
    return shares.keySet();
  }
}
