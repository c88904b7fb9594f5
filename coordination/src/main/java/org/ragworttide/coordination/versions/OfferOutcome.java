package org.ragworttide.coordination.versions;

/**
 * Outcome of offering a document that was read from the platform.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface OfferOutcome {

  /** The document came into force. */
  record Accepted() implements OfferOutcome {}

  /** The document is already in force. */
  record Unchanged() implements OfferOutcome {}

  /**
   * The document is older than the version in force and was ignored.
   *
   * @param inForce the version in force
   */
  record Stale(long inForce) implements OfferOutcome {}

  /** The document has the version in force but different content, and was ignored. */
  record Conflict() implements OfferOutcome {}

  /** The document is not valid and was ignored. */
  record Rejected() implements OfferOutcome {}
}
