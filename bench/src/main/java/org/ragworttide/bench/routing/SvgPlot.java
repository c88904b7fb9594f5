package org.ragworttide.bench.routing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Draws line charts as an SVG image.
 *
 * <p>Invariant: all curves share both axes, which begin at zero. Confined to one thread.
 */
final class SvgPlot {
  private static final int WIDTH = 720;
  private static final int HEIGHT = 360;
  private static final int MARGIN = 56;
  private static final String[] COLOURS = {
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#7f7f7f", "#17becf"
  };

  private final String title;
  private final String labelX;
  private final String labelY;
  private final Map<String, double[]> curves = new LinkedHashMap<>();

  SvgPlot(String title, String labelX, String labelY) {
    this.title = title;
    this.labelX = labelX;
    this.labelY = labelY;
  }

  SvgPlot curve(String name, double[] values) {
    curves.put(name, values);
    return this;
  }

  /** Writes the image; the last point of each curve lies at {@code maxX} on the horizontal axis. */
  void write(Path file, double maxX) throws IOException {
    double maxY = curves.values().stream().flatMapToDouble(Arrays::stream).max().orElse(1);
    maxY = maxY <= 0 ? 1 : maxY * 1.05;
    StringBuilder svg = new StringBuilder();
    add(svg, "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" ", WIDTH, HEIGHT);
    svg.append("font-family=\"sans-serif\" font-size=\"12\">\n");
    add(svg, "<rect width=\"%d\" height=\"%d\" fill=\"white\"/>%n", WIDTH, HEIGHT);
    text(svg, WIDTH / 2, 20, "middle", title);
    text(svg, WIDTH / 2, HEIGHT - 10, "middle", labelX);
    text(svg, 8, 40, "start", labelY);
    axes(svg, maxX, maxY);
    int index = 0;
    for (Map.Entry<String, double[]> curve : curves.entrySet()) {
      draw(svg, curve.getKey(), curve.getValue(), maxY, index++);
    }
    svg.append("</svg>\n");
    Files.createDirectories(file.getParent());
    Files.writeString(file, svg);
  }

  private static void axes(StringBuilder svg, double maxX, double maxY) {
    int bottom = HEIGHT - MARGIN;
    for (int tick = 0; tick <= 4; tick++) {
      double y = bottom - tick / 4.0 * (bottom - MARGIN);
      double x = MARGIN + tick / 4.0 * (WIDTH - 2 * MARGIN);
      add(
          svg,
          "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#ddd\"/>%n",
          MARGIN,
          y,
          WIDTH - MARGIN,
          y);
      text(svg, MARGIN - 4, (int) y + 4, "end", number(maxY * tick / 4));
      text(svg, (int) x, bottom + 16, "middle", number(maxX * tick / 4));
    }
  }

  private static void draw(
      StringBuilder svg, String name, double[] values, double maxY, int index) {
    String colour = COLOURS[index % COLOURS.length];
    int bottom = HEIGHT - MARGIN;
    svg.append("<polyline fill=\"none\" stroke-width=\"1.6\" stroke=\"").append(colour);
    svg.append("\" points=\"");
    for (int i = 0; i < values.length; i++) {
      double x = MARGIN + (double) i / Math.max(1, values.length - 1) * (WIDTH - 2 * MARGIN);
      add(svg, "%.1f,%.1f ", x, bottom - values[i] / maxY * (bottom - MARGIN));
    }
    svg.append("\"/>\n");
    int left = MARGIN + 8 + index % 4 * 160;
    add(svg, "<g fill=\"%s\">", colour);
    text(svg, left, 40 + index / 4 * 14, "start", name);
    svg.append("</g>\n");
  }

  private static void text(StringBuilder svg, int x, int y, String anchor, String text) {
    add(svg, "<text x=\"%d\" y=\"%d\" text-anchor=\"%s\">%s</text>%n", x, y, anchor, text);
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, value >= 100 ? "%.0f" : "%.2f", value);
  }

  private static void add(StringBuilder svg, String format, Object... values) {
    svg.append(String.format(Locale.ROOT, format, values));
  }
}
