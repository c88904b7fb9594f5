package org.ragworttide.daemon.decision;

/** Reasons why a request is not placed. */
public enum PlacementRefusal {
  /** No upstream in service that serves the model or route remains untried. */
  NO_UPSTREAM,
  /** No engine of the configuration serves the model. */
  UNKNOWN_MODEL,
  /** All upstreams are at their load limit. */
  OVERLOADED,
  /** Only cold upstreams remain and they are at their limit. */
  COLD,
  /** The request has crashed upstreams. */
  QUARANTINED,
  /** The request can't finish before its deadline. */
  DEADLINE_TOO_SHORT
}
