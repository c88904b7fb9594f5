package org.ragworttide.daemon.metrics;

/**
 * Name of a metric in the exposition format. The name in the registry has the form {@code name} or
 * {@code name;label=value}.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param id the name in the characters that the exposition format allows
 * @param labels the label in braces, empty if there is none
 */
record MetricName(String id, String labels) {
  private static final String PREFIX = "ragworttide_";

  static MetricName of(String registered, String suffix) {
    int end = registered.indexOf(';');
    String name = end < 0 ? registered : registered.substring(0, end);
    String labels = end < 0 ? "" : label(registered.substring(end + 1));
    return new MetricName(PREFIX + name.replaceAll("[^A-Za-z0-9_]", "_") + suffix, labels);
  }

  private static String label(String text) {
    int end = text.indexOf('=');
    String value =
        text.substring(end + 1).replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    return "{" + text.substring(0, end) + "=\"" + value + "\"}";
  }
}
