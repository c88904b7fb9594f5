package org.ragworttide.coordination.id;

/**
 * Identifier of a chat, by which later requests of the chat reach the same engine.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record ChatId(String value) implements Comparable<ChatId> {

  /** Checks that the identifier is usable. */
  public ChatId {
    Ids.requireText(value, "ChatId");
  }

  @Override
  public int compareTo(ChatId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
