package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ragworttide.coordination.id.OrganisationId;

/** Holds the shares of the current limits; not safe for use by several threads. */
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

  /** Returns the limit of a part when every VM has its full reserve, if there is such a part. */
  Optional<RateLimit> limit(LimitPart part) {
    return limit(part, 0);
  }

  /** Returns the limit of a part when the given number of VMs have the unconfirmed reserve. */
  Optional<RateLimit> limit(LimitPart part, int unconfirmedVms) {
    return shares(part.organisation())
        .filter(split -> part.index() < split.parts())
        .map(split -> split.partWithUnconfirmed(unconfirmedVms));
  }

  /** Returns the parts of all organisations. */
  List<LimitPart> parts() {
    List<LimitPart> parts = new ArrayList<>(shares.size());
    shares.forEach(
        (organisation, split) -> {
          for (int index = 0; index < split.parts(); index++) {
            parts.add(new LimitPart(organisation, index));
          }
        });
    return parts;
  }

  Set<OrganisationId> organisations() {
    return shares.keySet();
  }
}
