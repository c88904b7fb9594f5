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
   * @param version the platform's version of it
   * @param body the document as published
   */
  record Published(long version, byte[] body) implements PlatformReply {}

  /** Nothing newer than what the caller has. */
  record Unchanged() implements PlatformReply {}

  /**
   * The service did not answer, or not as agreed.
   *
   * @param reason what went wrong
   */
  record Unavailable(String reason) implements PlatformReply {}
}
