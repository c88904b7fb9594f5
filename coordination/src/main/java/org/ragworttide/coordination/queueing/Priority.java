package org.ragworttide.coordination.queueing;

/**
 * Priority of a request among those of its organisation; it has no effect between organisations.
 */
public enum Priority {
  /** A user waits for the answer online. */
  INTERACTIVE,
  /** A user waits for the answer, but not online. */
  NORMAL,
  /** No user waits for the answer. */
  BATCH
}
