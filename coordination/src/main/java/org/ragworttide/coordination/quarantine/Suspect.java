package org.ragworttide.coordination.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.stream.Collectors;

/**
 * Identifies what may crash the upstreams that run a request: the request's whole content, or a
 * part of its prompt that other requests share.
 *
 * <p>Invariant: the ids of contents and of parts differ in their lowest bit. Immutable, safe for
 * use by any thread.
 *
 * @param id a hash, short enough for statements; its lowest bit is set for a prompt part
 */
public record Suspect(int id) {
  private static final int PART_BIT = 1;

  /** Returns the suspect for all requests with the same content. */
  public static Suspect ofContent(long contentHash) {
    return new Suspect(fold(contentHash) & ~PART_BIT);
  }

  /** Returns the suspect for all requests whose prompts contain the part. */
  public static Suspect ofPromptPart(long partHash) {
    return new Suspect(fold(partHash) | PART_BIT);
  }

  /** Returns whether this is a prompt part. */
  public boolean isPromptPart() {
    return (id & PART_BIT) != 0;
  }

  /** Returns the suspects as text, in the same order on every VM. */
  static String describe(Collection<Suspect> suspects) {
    return suspects.stream()
        .sorted(Comparator.comparingInt(Suspect::id))
        .map(Suspect::toString)
        .collect(Collectors.joining(", "));
  }

  private static int fold(long hash) {
    return (int) (hash ^ hash >>> Integer.SIZE);
  }

  @Override
  public String toString() {
    return (isPromptPart() ? "part " : "content ") + "%08x".formatted(id);
  }
}
