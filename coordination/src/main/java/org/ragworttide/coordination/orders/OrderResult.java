package org.ragworttide.coordination.orders;

/**
 * Result of one order.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface OrderResult {

  /** The engine accepted the order. */
  record Accepted() implements OrderResult {}

  /**
   * The engine refused the order because it has accepted a newer one.
   *
   * @param newestNumber fencing number of the newest order that it has accepted
   */
  record Outdated(long newestNumber) implements OrderResult {}

  /**
   * The engine refused the order.
   *
   * @param reason the answer of the engine
   */
  record Refused(String reason) implements OrderResult {}

  /**
   * No byte of the order was sent.
   *
   * @param reason why the order was not sent
   */
  record NotSent(String reason) implements OrderResult {}

  /**
   * The order was sent, but no answer arrived.
   *
   * @param reason why no answer arrived
   */
  record Lost(String reason) implements OrderResult {}

  /** Returns a description of the result for logs, the audit trail and the status. */
  default String describe() {
    return switch (this) {
      case Accepted accepted -> "accepted";
      case Outdated old -> "refused as older than " + old.newestNumber();
      case Refused refused -> "refused: " + refused.reason();
      case NotSent unsent -> "not sent: " + unsent.reason();
      case Lost lost -> "no answer: " + lost.reason();
    };
  }
}
