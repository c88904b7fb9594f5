package org.ragworttide.coordination.orders;

import java.util.Objects;

/**
 * Weights that an engine loads: a model or an adapter at a version.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param kind model or adapter
 * @param id its name, which callers may use in requests
 * @param version its version in the weight store
 */
public record Artifact(Kind kind, String id, String version) implements Comparable<Artifact> {

  /** Kind of weights. */
  public enum Kind {
    /** A whole model. */
    MODEL,
    /** An adapter that is applied to a model. */
    ADAPTER
  }

  /** Checks that nothing is missing. */
  public Artifact {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(version, "version");
  }

  /** Orders models before adapters, because an adapter requires its model. */
  @Override
  public int compareTo(Artifact other) {
    int byKind = kind.compareTo(other.kind);
    int byId = id.compareTo(other.id);
    int byName = byKind != 0 ? byKind : byId;
    return byName != 0 ? byName : version.compareTo(other.version);
  }

  @Override
  public String toString() {
    return id + "@" + version;
  }
}
