package org.ragworttide.daemon.decision;

/**
 * Identifies one request in answers, logs and rate limits.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens. Immutable, safe for use by
 * any thread.
 *
 * @param value the identifier as text
 */
public record RequestId(String value) {
  private static final int MAX_LENGTH_CHARS = 64;

  /** Checks that the identifier is well formed. */
  public RequestId {
    if (!isValid(value)) {
      throw new IllegalArgumentException(
          "request id must be 1 to 64 letters, digits, dots, underscores or hyphens");
    }
  }

  /** Returns whether the text can be a request id. */
  public static boolean isValid(String text) {
    return text != null
        && !text.isEmpty()
        && text.length() <= MAX_LENGTH_CHARS
        && text.chars().allMatch(RequestId::isAllowed);
  }

  private static boolean isAllowed(int c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '-'
        || c == '_'
        || c == '.';
  }

  @Override
  public String toString() {
    return value;
  }
}
