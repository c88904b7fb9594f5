package org.ragworttide.bench.routing;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Prints results as JSON lines and records whether any result exceeds its bound.
 *
 * <p>Safe for use by any thread.
 */
final class Results {
  private boolean passed = true;

  /** Returns an ordered line that consists of the given pairs of names and values. */
  static Map<String, Object> line(Object... pairs) {
    Map<String, Object> line = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      line.put((String) pairs[i], pairs[i + 1]);
    }
    return line;
  }

  synchronized void print(Map<String, Object> line) {
    StringBuilder json = new StringBuilder("{");
    line.forEach(
        (name, value) -> {
          json.append(json.length() > 1 ? ", " : "").append('"').append(name).append("\": ");
          json.append(literal(value));
        });
    System.out.println(json.append('}'));
  }

  /** Checks a value against its upper bound and prints the outcome. */
  void atMost(String measure, double value, double bound) {
    checkBound(measure, value, "atMost", bound, value <= bound);
  }

  /** Checks a value against its lower bound and prints the outcome. */
  void atLeast(String measure, double value, double bound) {
    checkBound(measure, value, "atLeast", bound, value >= bound);
  }

  synchronized boolean passed() {
    return passed;
  }

  private synchronized void checkBound(
      String measure, double value, String relation, double bound, boolean holds) {
    passed &= holds;
    print(line("bound", measure, "value", value, relation, bound, "holds", holds));
  }

  private static String literal(Object value) {
    return switch (value) {
      case String text -> '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
      case Double number -> String.format(Locale.ROOT, "%.4f", number);
      default -> value.toString();
    };
  }
}
