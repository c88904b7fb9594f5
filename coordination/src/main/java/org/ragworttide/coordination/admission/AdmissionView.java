package org.ragworttide.coordination.admission;

import java.util.Map;
import java.util.OptionalLong;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Read-only view of the admission state of upstreams, for metrics and explanations.
 *
 * <p>Invariant: reading consumes no permit. Confined to the coordination thread.
 */
public final class AdmissionView {
  private final Map<UpstreamId, PermitPool> pools;
  private final PermitOwner owner;

  AdmissionView(Map<UpstreamId, PermitPool> pools, PermitOwner owner) {
    this.pools = pools;
    this.owner = owner;
  }

  /** Returns whether the upstream is known to be warm. */
  public boolean isWarm(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool != null && pool.isWarm();
  }

  /** Returns the number of this daemon's requests that run at the upstream under permits. */
  public int runningUnderPermits(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool == null ? 0 : pool.runningUnderPermits();
  }

  /** Returns the proven concurrency level of the upstream, if this VM owns it. */
  public OptionalLong level(UpstreamId upstream) {
    return owner.level(upstream);
  }
}
