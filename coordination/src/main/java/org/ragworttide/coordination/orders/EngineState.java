package org.ragworttide.coordination.orders;

import java.util.Objects;
import java.util.Set;

/**
 * State that an engine reports.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param fencingNumber fencing number of the last order that it accepted, 0 if none since its start
 * @param loaded artifacts that are ready for requests
 * @param loading artifacts that it is fetching or preparing
 * @param role its role
 */
public record EngineState(
    long fencingNumber, Set<Artifact> loaded, Set<Artifact> loading, String role) {

  /** Copies the sets. */
  public EngineState {
    loaded = Set.copyOf(loaded);
    loading = Set.copyOf(loading);
    Objects.requireNonNull(role, "role");
  }

  boolean has(Artifact artifact) {
    return loaded.contains(artifact) || loading.contains(artifact);
  }
}
