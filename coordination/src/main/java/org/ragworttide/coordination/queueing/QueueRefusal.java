package org.ragworttide.coordination.queueing;

/** Reason for which a queue refuses a request; the request has not run. */
public enum QueueRefusal {
  /** The queue is full and the organisation has the most requests, including the offered one. */
  FULL,
  /** The answer could not be complete by the request's deadline. */
  TOO_LATE
}
