package org.ragworttide.cli;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Plots percentiles of recorded times as SVG with two logarithmic axes; stateless. */
final class PercentilePlot {
  private static final int WIDTH = 720;
  private static final int HEIGHT = 400;
  private static final int MARGIN = 60;
  private static final double DECADES = 4;
  private static final double STEP_DECADES = 0.05;
  private static final String[] COLOURS = {"#1f77b4", "#d62728"};

  private PercentilePlot() {}

  static String svg(Map<String, Histogram> named) {
    StringBuilder svg = new StringBuilder();
    append(svg, "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d'>\n", WIDTH, HEIGHT);
    append(svg, "<rect width='100%%' height='100%%' fill='white'/>\n");
    double topDecade = 1;
    for (Histogram histogram : named.values()) {
      topDecade = Math.max(topDecade, Math.ceil(Math.log10(Math.max(1, histogram.getMaxValue()))));
    }
    appendAxes(svg, topDecade);
    int index = 0;
    for (Map.Entry<String, Histogram> entry : new TreeMap<>(named).entrySet()) {
      appendCurve(svg, entry, COLOURS[index % COLOURS.length], index, topDecade);
      index++;
    }
    return svg.append("</svg>\n").toString();
  }

  private static void appendAxes(StringBuilder svg, double topDecade) {
    for (int decade = 0; decade <= DECADES; decade++) {
      String label = String.format(Locale.ROOT, "%.4g%%", 100 - Math.pow(10, 2 - decade));
      append(
          svg,
          "<text x='%.1f' y='%d' font-size='11'>%s</text>\n",
          horizontalPosition(decade),
          HEIGHT - 35,
          label);
    }
    for (int decade = 0; decade <= topDecade; decade++) {
      double y = verticalPosition(decade, topDecade);
      append(
          svg,
          "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/>\n",
          MARGIN,
          WIDTH - 20,
          y,
          y);
      append(svg, "<text x='5' y='%.1f' font-size='11'>%s ms</text>\n", y, millis(decade));
    }
  }

  private static void appendCurve(
      StringBuilder svg,
      Map.Entry<String, Histogram> entry,
      String colour,
      int row,
      double topDecade) {
    append(svg, "<polyline fill='none' stroke='%s' points='", colour);
    for (double decade = 0; decade <= DECADES; decade += STEP_DECADES) {
      double percentile = 100 - Math.pow(10, 2 - decade);
      double micros = Math.max(1, entry.getValue().getValueAtPercentile(percentile));
      append(
          svg,
          "%.1f,%.1f ",
          horizontalPosition(decade),
          verticalPosition(Math.log10(micros), topDecade));
    }
    append(
        svg,
        "'/>\n<text x='%d' y='%d' fill='%s' font-size='12'>%s</text>\n",
        MARGIN + 10,
        20 + 15 * row,
        colour,
        entry.getKey());
  }

  private static double horizontalPosition(double decade) {
    return MARGIN + decade / DECADES * (WIDTH - MARGIN - 60);
  }

  private static double verticalPosition(double decade, double topDecade) {
    return HEIGHT - MARGIN - decade / topDecade * (HEIGHT - MARGIN - 30);
  }

  private static String millis(int decade) {
    return String.format(Locale.ROOT, "%.4g", Math.pow(10, decade - 3));
  }

  private static void append(StringBuilder svg, String format, Object... values) {
    svg.append(String.format(Locale.ROOT, format, values));
  }
}
