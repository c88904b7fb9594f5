package org.ragworttide.coordination.id;

/**
 * Identifier of one non-idempotent request, by which it runs at most once.
 *
 * <p>Invariant: the value is not blank. Immutable, safe for use by any thread.
 *
 * @param value the identifier as text
 */
public record RequestKey(String value) implements Comparable<RequestKey> {

  /** Checks that the identifier is usable. */
  public RequestKey {
    Ids.requireText(value, "RequestKey");
  }

  @Override
  public int compareTo(RequestKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
