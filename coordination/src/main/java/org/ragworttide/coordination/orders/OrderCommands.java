package org.ragworttide.coordination.orders;

/**
 * Changes what is known of engines and what is wanted of them.
 *
 * <p>Called on the coordination thread only.
 */
public interface OrderCommands {

  /** Puts a configuration version in force, unless it is older than the one in force. */
  void apply(OrderPolicy policy);

  /** Takes in an engine's report; one that is older than an earlier one is ignored. */
  void report(EngineReport report);

  /** Tells how orders are sent; none are sent before. */
  void sendWith(OrderPort port);
}
