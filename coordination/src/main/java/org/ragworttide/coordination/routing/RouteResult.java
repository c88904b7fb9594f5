package org.ragworttide.coordination.routing;

/**
 * Outcome of one routing decision.
 *
 * <p>Invariant: a refused request has reached no upstream. Immutable but for the slot, which is
 * confined to the coordination thread.
 */
public sealed interface RouteResult {

  /**
   * The request goes to the slot's upstream.
   *
   * @param slot the slot taken at the upstream, which the caller releases when the request ends
   */
  record Chosen(Slot slot) implements RouteResult {}

  /**
   * No upstream may receive the request now.
   *
   * @param reason the reason of the refusal
   * @param retryAfterMillis how long to wait before the next attempt
   */
  record Refused(RefusalReason reason, long retryAfterMillis) implements RouteResult {}
}
