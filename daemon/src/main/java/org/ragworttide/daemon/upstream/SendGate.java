package org.ragworttide.daemon.upstream;

/**
 * Decides at the last moment whether a request leaves.
 *
 * <p>Implementations are safe for use by any thread.
 */
@FunctionalInterface
public interface SendGate {

  /** Returns whether the first byte may be written; if so, the request counts as sent. */
  boolean enter();
}
