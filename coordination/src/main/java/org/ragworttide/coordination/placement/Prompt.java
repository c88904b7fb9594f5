package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * A request's prompt as placement sees it.
 *
 * <p>Invariant: parts stand in the prompt's order, the one that only its session shares last.
 * Immutable, safe for use by any thread.
 *
 * @param parts the shared parts, possibly none
 * @param inputTokens the length of the whole prompt in tokens
 * @param maxOutputTokens the longest answer in tokens
 */
public record Prompt(List<PromptPart> parts, int inputTokens, int maxOutputTokens) {

  /** Checks the ranges. */
  public Prompt {
    parts = List.copyOf(parts);
    if (inputTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }
}
