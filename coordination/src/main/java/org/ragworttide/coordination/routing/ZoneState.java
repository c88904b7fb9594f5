package org.ragworttide.coordination.routing;

/** Whether an availability zone takes new work. */
public enum ZoneState {
  /** The zone takes new work. */
  IN,
  /** The zone finishes its work and takes none. */
  OUT
}
