package org.ragworttide.coordination.membership;

/** The state of an entry VM as the platform publishes it. */
public enum VmState {
  /** The VM serves callers and accepts new work. */
  LIVE,
  /** The VM finishes its work and accepts no new work. */
  LEAVING
}
