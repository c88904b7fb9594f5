package org.ragworttide.coordination.versions;

/**
 * Reads which configuration version is in force.
 *
 * <p>Invariant: {@link #version()} never goes back. Called on the coordination thread only.
 */
public interface VersionQueries {

  /** Returns the version in force, zero for none. */
  long version();

  /** Returns the document in force, empty for none; not to be changed. */
  byte[] document();

  /** Returns whether this VM should hold the platform's watch now. */
  boolean isReader();

  /** Returns whether callers may reach this VM: no peer that answered has a newer version. */
  boolean isReady();

  /** Returns the events counted since the start. */
  VersionCounters counters();
}
