package org.ragworttide.coordination.orders;

import java.util.function.Consumer;

/**
 * Sends orders to engines.
 *
 * <p>Invariant: the result is delivered on the coordination thread, at most once. Called on the
 * coordination thread only.
 */
@FunctionalInterface
public interface OrderPort {

  /** Sends the order once. */
  void send(EngineOrder order, Consumer<OrderResult> result);
}
