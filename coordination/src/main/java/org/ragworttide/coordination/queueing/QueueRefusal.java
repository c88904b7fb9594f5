package org.ragworttide.coordination.queueing;

/** Why a waiting request is refused; it has not run. */
public enum QueueRefusal {
  /** The queue is full and the organisation has the most requests in it. */
  FULL,
  /** The answer could not be whole within the request's window. */
  TOO_LATE
}
