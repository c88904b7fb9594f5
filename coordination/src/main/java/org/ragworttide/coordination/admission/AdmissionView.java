package org.ragworttide.coordination.admission;

import java.util.Map;
import java.util.OptionalLong;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Reads what is known about cold upstreams, for metrics and explanations.
 *
 * <p>Invariant: no permit is taken by reading. Confined to the coordination thread.
 */
public final class AdmissionView {
  private final Map<UpstreamId, PermitPool> pools;
  private final PermitOwner owner;

  AdmissionView(Map<UpstreamId, PermitPool> pools, PermitOwner owner) {
    this.pools = pools;
    this.owner = owner;
  }

  /** Tells whether the upstream is known to be warm. */
  public boolean isWarm(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool != null && pool.isWarm();
  }

  /** Returns how many of this daemon's requests run at the upstream under permits. */
  public int runningUnderPermits(UpstreamId upstream) {
    PermitPool pool = pools.get(upstream);
    return pool == null ? 0 : pool.runningCold();
  }

  /** Returns the level that the upstream has proved to bear, if this VM owns it. */
  public OptionalLong level(UpstreamId upstream) {
    return owner.level(upstream);
  }
}
