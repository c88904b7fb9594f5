package org.ragworttide.coordination.routing;

import java.util.Objects;
import java.util.Set;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * One upstream as the configuration describes it.
 *
 * <p>Invariant: both limits are positive. Immutable, safe for use by any thread.
 *
 * @param id the upstream
 * @param zone its availability zone
 * @param models the models that it serves
 * @param inService false when it is leaving and takes no new work
 * @param coldLimit requests that it can bear at once while cold, over all daemons
 * @param maxInFlight requests that it can bear at once, over all daemons
 */
public record UpstreamSpec(
    UpstreamId id,
    ZoneId zone,
    Set<ModelId> models,
    boolean inService,
    int coldLimit,
    int maxInFlight) {

  /** Checks the limits and copies the models. */
  public UpstreamSpec {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    models = Set.copyOf(models);
    if (coldLimit <= 0 || maxInFlight <= 0) {
      throw new IllegalArgumentException("limits of " + id + " must be positive");
    }
  }
}
