package org.ragworttide.bench.routing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiFunction;

/** Plots the results of the first seed of a scenario; stateless. */
final class FleetPlots {

  private FleetPlots() {}

  static void write(
      Path directory, FleetSize size, Scenario scenario, Map<String, List<Tally>> tallies)
      throws IOException {
    String name = size.name() + "-" + scenario.name().toLowerCase(Locale.ROOT).replace('_', '-');
    double minutes = (size.seconds() - size.warmupSeconds()) / 60.0;
    String title = scenario + ", size " + size.name();
    SvgPlot reuse = new SvgPlot(title, "minutes", "share of returning chats with a cached prefix");
    SvgPlot skew = new SvgPlot(title, "minutes", "highest load as a multiple of the mean");
    SvgPlot first = new SvgPlot(title, "minutes", "95th percentile of first token, ms");
    tallies.forEach(
        (strategy, runs) -> {
          if (!strategy.equals("least-loaded")) {
            Tally tally = runs.getFirst();
            reuse.curve(strategy, slices(tally, FleetPlots::reuse));
            skew.curve(strategy, tally.sliceSkew);
            first.curve(strategy, slices(tally, FleetPlots::firstToken));
          }
        });
    reuse.write(directory.resolve(name + "-reuse.svg"), minutes);
    skew.write(directory.resolve(name + "-skew.svg"), minutes);
    first.write(directory.resolve(name + "-first-token.svg"), minutes);
  }

  private static double reuse(Tally tally, int slice) {
    long returning = tally.sliceReturning[slice];
    return returning == 0 ? 0 : (double) tally.sliceHits[slice] / returning;
  }

  private static double firstToken(Tally tally, int slice) {
    return tally.sliceFirstToken.get(slice).getValueAtPercentile(95);
  }

  private static double[] slices(Tally tally, BiFunction<Tally, Integer, Double> value) {
    double[] values = new double[Tally.SLICES];
    for (int i = 0; i < values.length; i++) {
      values[i] = value.apply(tally, i);
    }
    return values;
  }
}
