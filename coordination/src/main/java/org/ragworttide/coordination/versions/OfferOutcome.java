package org.ragworttide.coordination.versions;

/**
 * What became of an offered document.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface OfferOutcome {

  /** It came into force. */
  record Accepted() implements OfferOutcome {}

  /** It is in force already. */
  record Known() implements OfferOutcome {}

  /**
   * It is older than the version in force and was ignored.
   *
   * @param inForce the version in force
   */
  record Stale(long inForce) implements OfferOutcome {}

  /** It has the version in force but another content, and was ignored. */
  record Conflict() implements OfferOutcome {}

  /** It is not valid and was ignored. */
  record Rejected() implements OfferOutcome {}
}
