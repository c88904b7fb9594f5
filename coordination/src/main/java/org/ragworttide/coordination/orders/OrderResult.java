package org.ragworttide.coordination.orders;

/**
 * What became of one order.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface OrderResult {

  /** The engine took the order. */
  record Accepted() implements OrderResult {}

  /**
   * The engine refused the order as old.
   *
   * @param newestNumber the number of the newest order that it has taken
   */
  record Old(long newestNumber) implements OrderResult {}

  /**
   * The engine refused the order.
   *
   * @param reason its answer
   */
  record Refused(String reason) implements OrderResult {}

  /**
   * No byte of the order was sent.
   *
   * @param reason why
   */
  record NotSent(String reason) implements OrderResult {}

  /**
   * The order was sent and no answer came.
   *
   * @param reason why
   */
  record Lost(String reason) implements OrderResult {}

  /** Returns the result in words, for logs, the audit trail and the status. */
  default String inWords() {
    return switch (this) {
      case Accepted accepted -> "accepted";
      case Old old -> "refused as older than " + old.newestNumber();
      case Refused refused -> "refused: " + refused.reason();
      case NotSent unsent -> "not sent: " + unsent.reason();
      case Lost lost -> "no answer: " + lost.reason();
    };
  }
}
