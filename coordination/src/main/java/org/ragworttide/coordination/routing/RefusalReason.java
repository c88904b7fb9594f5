package org.ragworttide.coordination.routing;

/** Why no upstream may take a request now. */
public enum RefusalReason {
  /** No upstream of the list serves the model. */
  NO_UPSTREAM,
  /** All upstreams of the model are leaving or in zones that are out. */
  OUT_OF_SERVICE,
  /** All upstreams in service have been tried before. */
  ALL_TRIED,
  /** All upstreams left are cold, broken or otherwise held back. */
  HELD_BACK,
  /** The chat's upstream may have a place; its owner is being asked. */
  AWAITING_PERMIT,
  /** All upstreams left are at their limit of concurrent requests. */
  OVERLOADED
}
