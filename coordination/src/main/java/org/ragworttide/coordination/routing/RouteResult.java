package org.ragworttide.coordination.routing;

/**
 * The outcome of one routing decision.
 *
 * <p>Invariant: a refused request has reached no upstream. Immutable but for the slot, which is
 * confined to the coordination thread.
 */
public sealed interface RouteResult {

  /**
   * The request goes to the slot's upstream.
   *
   * @param slot the place taken there, to be released when the request ends
   */
  record Chosen(Slot slot) implements RouteResult {}

  /**
   * No upstream may take the request now.
   *
   * @param reason why
   * @param retryAfterMillis how long to wait before asking again
   */
  record Refused(RefusalReason reason, long retryAfterMillis) implements RouteResult {}
}
