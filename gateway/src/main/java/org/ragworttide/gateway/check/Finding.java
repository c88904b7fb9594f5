package org.ragworttide.gateway.check;

/**
 * Something in a configuration that an operator should know before it is published.
 *
 * <p>Invariant: it contains no part of a key. Immutable, safe for use by any thread.
 *
 * @param severity how serious it is
 * @param place the element, such as a route by its name
 * @param text what is wrong, a sentence without its period
 */
public record Finding(Severity severity, String place, String text) {

  /** How serious a finding is. Immutable. */
  public enum Severity {
    /** The configuration must not be published. */
    ERROR,
    /** An element has no effect, or two limits contradict each other. */
    WARNING
  }

  /** Returns an error. */
  public static Finding error(String place, String text) {
    return new Finding(Severity.ERROR, place, text);
  }

  /** Returns a warning. */
  public static Finding warning(String place, String text) {
    return new Finding(Severity.WARNING, place, text);
  }

  /** Returns whether the configuration must not be published. */
  public boolean isError() {
    return severity == Severity.ERROR;
  }

  @Override
  public String toString() {
    return (isError() ? "error: " : "warning: ") + place + ": " + text;
  }
}
