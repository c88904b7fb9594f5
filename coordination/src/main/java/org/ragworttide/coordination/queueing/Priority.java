package org.ragworttide.coordination.queueing;

/** Orders the work of one organisation; it does not put one organisation before another. */
public enum Priority {
  /** Somebody waits on the line. */
  INTERACTIVE,
  /** Somebody waits, but not on the line. */
  NORMAL,
  /** Nobody waits. */
  BATCH
}
