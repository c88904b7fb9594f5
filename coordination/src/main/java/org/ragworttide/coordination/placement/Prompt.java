package org.ragworttide.coordination.placement;

import java.util.List;

/**
 * Parts and token counts of a request's prompt, as placement uses them.
 *
 * <p>Invariant: the parts are in the prompt's order; the last part belongs to the session or to the
 * request alone. Immutable, safe for use by any thread.
 *
 * @param parts the parts of the prompt, possibly none
 * @param inputTokens the length of the whole prompt in tokens
 * @param maxOutputTokens the maximum length of the answer in tokens
 */
public record Prompt(List<PromptPart> parts, int inputTokens, int maxOutputTokens) {
  private static final long LABEL_MASK = 0xffffffL;

  /** Minimum number of parts of a prompt whose last part may belong to the request alone. */
  private static final int MIN_PARTS_WITH_REQUEST_PART = 3;

  /** Checks the ranges. */
  public Prompt {
    parts = List.copyOf(parts);
    if (inputTokens < 0 || maxOutputTokens < 0) {
      throw new IllegalArgumentException("token counts must not be negative");
    }
  }

  /** Returns a short label for logs that is the same for all requests of a session. */
  public String sessionLabel() {
    return parts.isEmpty() ? "none" : Long.toHexString(affinityPart().idHash() & LABEL_MASK);
  }

  /**
   * Returns the number of tokens of the shared parts, which an engine prefills if it holds none of
   * them.
   */
  int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /**
   * Returns the parts that other requests may share: all except a last part that may belong to the
   * request alone.
   */
  List<PromptPart> sharedParts() {
    return parts.size() < MIN_PARTS_WITH_REQUEST_PART ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the parts that requests of other sessions may contain too: all except the last. */
  public List<PromptPart> partsBeforeLast() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /**
   * Returns the part that identifies the session for affinity: the last but one, because the last
   * part may belong to the request alone, or the last part if there are fewer than three.
   */
  PromptPart affinityPart() {
    return parts.size() < MIN_PARTS_WITH_REQUEST_PART
        ? parts.getLast()
        : parts.get(parts.size() - 2);
  }
}
