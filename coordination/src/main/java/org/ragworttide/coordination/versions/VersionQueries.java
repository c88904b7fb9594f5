package org.ragworttide.coordination.versions;

/**
 * Queries of the configuration version in force.
 *
 * <p>Invariant: {@link #version()} never decreases. Called on the coordination thread only.
 */
public interface VersionQueries {

  /** Returns the version in force, zero for none. */
  long version();

  /** Returns the document in force, empty for none; not to be changed. */
  byte[] document();

  /** Returns whether this VM should currently watch the platform's service. */
  boolean isReader();

  /** Returns whether this VM may serve callers: no peer that answered has a newer version. */
  boolean isReady();

  /** Returns the events counted since the start. */
  VersionCounters counters();
}
