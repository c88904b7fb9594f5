package org.ragworttide.coordination.routing;

/** Reason for which no upstream may receive a request now. */
public enum RefusalReason {
  /** No upstream of the list serves the model. */
  NO_UPSTREAM,
  /** All upstreams of the model are leaving or in zones that are out. */
  OUT_OF_SERVICE,
  /** All upstreams in service have been tried before. */
  ALL_TRIED,
  /** A gate holds back all remaining upstreams, for example because they are cold or failing. */
  HELD_BACK,
  /** The chat's upstream may have a free place; the permit request to its owner is pending. */
  AWAITING_PERMIT,
  /** All remaining upstreams are at their limit of concurrent requests. */
  OVERLOADED
}
