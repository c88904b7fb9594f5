package org.ragworttide.coordination.placement;

/**
 * Part of a prompt that several requests may share.
 *
 * <p>Invariant: the token count is not negative. Immutable, safe for use by any thread.
 *
 * @param idHash a well-mixed hash of the part's identifier
 * @param tokens the part's length in tokens
 */
public record PromptPart(long idHash, int tokens) {

  /** Checks the range. */
  public PromptPart {
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
  }
}
