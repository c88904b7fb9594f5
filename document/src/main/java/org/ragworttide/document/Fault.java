package org.ragworttide.document;

/**
 * One fault of a document or of settings, for showing it to whoever wrote the text.
 *
 * <p>Invariant: neither part is null. Immutable, safe for use by any thread.
 *
 * @param place JSON pointer of the faulty value; empty for the text as a whole
 * @param message what is wrong with it
 */
public record Fault(String place, String message) {

  @Override
  public String toString() {
    return (place.isEmpty() ? "(document)" : place) + ": " + message;
  }
}
