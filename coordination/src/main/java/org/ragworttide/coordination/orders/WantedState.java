package org.ragworttide.coordination.orders;

import java.util.List;
import java.util.Objects;

/**
 * What the operators' configuration wants an engine to be.
 *
 * <p>Invariant: the artifacts are sorted, models first. Immutable, safe for use by any thread.
 *
 * @param artifacts all that is to be loaded, and nothing else
 * @param role the role that the engine is to have
 */
public record WantedState(List<Artifact> artifacts, String role) {

  /** Sorts the artifacts. */
  public WantedState {
    artifacts = artifacts.stream().distinct().sorted().toList();
    Objects.requireNonNull(role, "role");
  }
}
