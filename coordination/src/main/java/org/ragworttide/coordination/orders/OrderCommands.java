package org.ragworttide.coordination.orders;

/**
 * Commands that set the goals of engines and record their reports.
 *
 * <p>Called on the coordination thread only.
 */
public interface OrderCommands {

  /** Puts a configuration version into force, unless it is older than the one in force. */
  void apply(OrderPolicy policy);

  /** Handles an engine's report; a report older than an earlier one is ignored. */
  void report(EngineReport report);

  /** Sets the port that sends orders; no order is sent before it is set. */
  void sendWith(OrderPort port);
}
