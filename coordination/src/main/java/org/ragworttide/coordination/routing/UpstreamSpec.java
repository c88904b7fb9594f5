package org.ragworttide.coordination.routing;

import java.util.Objects;
import java.util.Set;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Configuration of one upstream.
 *
 * <p>Invariant: both limits are positive. Immutable, safe for use by any thread.
 *
 * @param id the upstream
 * @param zone its availability zone
 * @param models the models that it serves
 * @param inService false when it is leaving and accepts no new work
 * @param coldLimit maximum number of concurrent requests while it is cold, over all daemons
 * @param maxInFlight maximum number of concurrent requests, over all daemons
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
