package org.ragworttide.coordination.orders;

import java.util.Objects;
import java.util.Set;

/**
 * What an engine says it is.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param fencingNumber the number of the last order that it took, 0 if none since its start
 * @param loaded what is ready for requests
 * @param loading what it fetches or makes ready
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
