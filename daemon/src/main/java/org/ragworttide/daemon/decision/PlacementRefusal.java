package org.ragworttide.daemon.decision;

/** Why a request was not placed. */
public enum PlacementRefusal {
  /** No upstream that is not tried yet serves the model or route. */
  NO_UPSTREAM,
  /** The model is on no engine of the configuration. */
  UNKNOWN_MODEL,
  /** All upstreams carry as much as they may. */
  OVERLOADED,
  /** Only cold upstreams are left and they take no more. */
  COLD,
  /** The request has crashed upstreams. */
  QUARANTINED,
  /** The request can't finish within its deadline. */
  DEADLINE_TOO_SHORT
}
