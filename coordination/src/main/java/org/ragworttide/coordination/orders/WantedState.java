package org.ragworttide.coordination.orders;

import java.util.List;
import java.util.Objects;

/**
 * State that the operators' configuration sets as the goal of an engine.
 *
 * <p>Invariant: the artifacts are sorted, models first. Immutable, safe for use by any thread.
 *
 * @param artifacts the complete set of artifacts to be loaded
 * @param role the wanted role of the engine
 */
public record WantedState(List<Artifact> artifacts, String role) {

  /** Sorts the artifacts. */
  public WantedState {
    artifacts = artifacts.stream().distinct().sorted().toList();
    Objects.requireNonNull(role, "role");
  }
}
