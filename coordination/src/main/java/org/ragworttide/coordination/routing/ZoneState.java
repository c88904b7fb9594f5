package org.ragworttide.coordination.routing;

/** State of an availability zone that decides whether it accepts new work. */
public enum ZoneState {
  /** The zone accepts new work. */
  IN,
  /** The zone finishes its current work and accepts no new work. */
  OUT
}
