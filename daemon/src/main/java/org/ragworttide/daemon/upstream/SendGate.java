package org.ragworttide.daemon.upstream;

/**
 * Decides, right before the first byte is written, whether a request is sent.
 *
 * <p>Implementations are safe for use by any thread.
 */
@FunctionalInterface
public interface SendGate {

  /** Returns whether the first byte may be written; if so, the request counts as sent. */
  boolean enter();
}
