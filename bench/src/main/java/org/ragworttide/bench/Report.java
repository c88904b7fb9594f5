package org.ragworttide.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prints one JSON line for each measurement and records whether all bounds hold.
 *
 * <p>Invariant: the printed value is the median of the runs. Not safe for use by several threads.
 */
public final class Report {
  private final ObjectMapper mapper = new ObjectMapper();
  private final PrintStream out;
  private boolean withinBounds = true;

  /** Creates a report that prints to the stream. */
  public Report(PrintStream out) {
    this.out = out;
  }

  /** Reports a value that must not exceed the bound. */
  public void atMost(String measure, Map<String, ?> labels, List<Double> runs, double bound) {
    print(measure, labels, runs, "atMost", bound, median(runs) <= bound);
  }

  /** Reports a value that must reach the bound. */
  public void atLeast(String measure, Map<String, ?> labels, List<Double> runs, double bound) {
    print(measure, labels, runs, "atLeast", bound, median(runs) >= bound);
  }

  /** Reports a value without a bound, for comparison. */
  public void plain(String measure, Map<String, ?> labels, List<Double> runs) {
    print(measure, labels, runs, null, 0, true);
  }

  /** Returns whether every bound holds. */
  public boolean isWithinBounds() {
    return withinBounds;
  }

  /** Returns the median of the runs. */
  public static double median(List<Double> runs) {
    List<Double> sorted = runs.stream().sorted().toList();
    int middle = sorted.size() / 2;
    return sorted.size() % 2 == 1
        ? sorted.get(middle)
        : (sorted.get(middle - 1) + sorted.get(middle)) / 2;
  }

  private void print(
      String measure,
      Map<String, ?> labels,
      List<Double> runs,
      String comparison,
      double bound,
      boolean held) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("measure", measure);
    line.putAll(labels);
    line.put("median", median(runs));
    line.put("runs", runs);
    if (comparison != null) {
      line.put(comparison, bound);
      line.put("held", held);
    }
    withinBounds &= held;
    try {
      out.println(mapper.writeValueAsString(line));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("numbers and text can always be written as JSON", e);
    }
  }
}
