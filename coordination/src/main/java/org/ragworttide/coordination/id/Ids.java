package org.ragworttide.coordination.id;

/** Validation shared by the identifier types; stateless. */
final class Ids {
  private static final int MAX_LENGTH_CHARS = 256;

  private Ids() {}

  static void requireText(String value, String type) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(type + " must not be blank");
    }
    if (value.length() > MAX_LENGTH_CHARS) {
      throw new IllegalArgumentException(type + " exceeds " + MAX_LENGTH_CHARS + " characters");
    }
  }
}
