package org.ragworttide.coordination.membership;

/** The state of an entry VM as the platform publishes it. */
public enum VmState {
  /** The VM serves and takes new work. */
  LIVE,
  /** The VM finishes its work and takes none. */
  LEAVING
}
