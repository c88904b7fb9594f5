package org.ragworttide.daemon.platform;

/**
 * The outcome of one call to the platform's service.
 *
 * <p>Immutable, safe for use by any thread; the body must not be changed.
 */
public sealed interface PlatformReply {

  /**
   * A published document.
   *
   * @param version the version that the platform assigned
   * @param body the document as published
   */
  record Published(long version, byte[] body) implements PlatformReply {}

  /** No version is newer than the caller's. */
  record Unchanged() implements PlatformReply {}

  /**
   * The service did not answer, or its answer violates the protocol.
   *
   * @param reason why the call failed
   */
  record Unavailable(String reason) implements PlatformReply {}
}
