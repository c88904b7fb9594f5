package org.ragworttide.document;

/**
 * Fault of a document or of settings, reported to the author of the text.
 *
 * <p>Invariant: neither component is null. Immutable, safe for use by any thread.
 *
 * @param place JSON pointer of the faulty value; empty for the text as a whole
 * @param message description of the fault
 */
public record Fault(String place, String message) {

  @Override
  public String toString() {
    return (place.isEmpty() ? "(document)" : place) + ": " + message;
  }
}
