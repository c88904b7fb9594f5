package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * A request's prompt as placement sees it.
 *
 * <p>Invariant: parts stand in the prompt's order, the one of its session or of the request alone
 * last. Immutable, safe for use by any thread.
 *
 * @param parts the shared parts, possibly none
 * @param inputTokens the length of the whole prompt in tokens
 * @param maxOutputTokens the longest answer in tokens
 */
public record Prompt(List<PromptPart> parts, int inputTokens, int maxOutputTokens) {
  private static final long LABEL_MASK = 0xffffffL;

  /** Parts of a prompt from which on the last may be taken for the request's own. */
  private static final int PARTS_WITH_OWN = 3;

  /** Checks the ranges. */
  public Prompt {
    parts = List.copyOf(parts);
    if (inputTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }

  /** Returns a short label of the session for logs, the same for the same session. */
  public String sessionLabel() {
    return parts.isEmpty() ? "none" : Long.toHexString(affinityPart().idHash() & LABEL_MASK);
  }

  /** Returns the tokens that an engine has to read which holds nothing of the session. */
  int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** Returns the parts that other requests may share: all but one that may be the request's own. */
  List<PromptPart> sharedParts() {
    return parts.size() < PARTS_WITH_OWN ? parts : parts.subList(0, parts.size() - 1);
  }

  /**
   * Returns the part by which requests are kept together: the one before the last, since the last
   * may be the request's own; with fewer than three parts the last.
   */
  PromptPart affinityPart() {
    return parts.size() < PARTS_WITH_OWN ? parts.getLast() : parts.get(parts.size() - 2);
  }
}
