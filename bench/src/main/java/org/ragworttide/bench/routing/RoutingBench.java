package org.ragworttide.bench.routing;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.ragworttide.coordination.routing.RouterSettings;

/** Runs the routing benchmarks; stateless. */
public final class RoutingBench {
  private static final int THREADS = 3;
  private static final int EXIT_BOUND = 1;
  private static final int EXIT_USAGE = 2;
  private static final long FIRST_SEED = 20261204;

  private RoutingBench() {}

  /**
   * Runs with the options and returns the exit code: 1 if a result exceeds its bound, 2 for wrong
   * options.
   */
  public static int run(String[] args) {
    Options options = new Options();
    options.addOption(null, "size", true, "today or target; both when left out");
    options.addOption(null, "seeds", true, "seeds for each measurement (3)");
    options.addOption(
        null,
        "only",
        true,
        "fleet, overload, cold, memory, failure or decision; all when left out");
    options.addOption(null, "scenario", true, "one scenario of the fleet; all when left out");
    options.addOption(null, "plots", true, "directory for the plots; none when left out");
    try {
      return run(new DefaultParser().parse(options, args));
    } catch (ParseException | NumberFormatException wrong) {
      System.err.println("bench routing: " + wrong.getMessage());
      return EXIT_USAGE;
    } catch (IOException | ExecutionException | InterruptedException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static int run(CommandLine line)
      throws IOException, ExecutionException, InterruptedException {
    Results results = new Results();
    int seeds = Integer.parseInt(line.getOptionValue("seeds", "3"));
    String only = line.getOptionValue("only", "all");
    for (FleetSize size : List.of(FleetSize.TODAY, FleetSize.TARGET)) {
      if (!line.getOptionValue("size", size.name()).equals(size.name())) {
        continue;
      }
      if (only.equals("all") || only.equals("fleet")) {
        fleet(size, seeds, results, line);
      }
      if (size == FleetSize.TODAY && (only.equals("all") || only.equals("overload"))) {
        ComponentBenches.overload(size.shortened(900, 0), seeds, FIRST_SEED, results);
      }
      if (only.equals("all") || only.equals("cold")) {
        ComponentBenches.cold(size.shortened(60, 0), seeds, FIRST_SEED, results);
      }
      if (only.equals("all") || only.equals("memory")) {
        ComponentBenches.memory(size, results);
      }
      if (only.equals("all") || only.equals("failure")) {
        ComponentBenches.failure(
            size.shortened(size == FleetSize.TODAY ? 600 : 60, 0), seeds, FIRST_SEED, results);
      }
    }
    if (only.equals("all") || only.equals("decision")) {
      DecisionBench.run(results);
    }
    return results.passed() ? 0 : EXIT_BOUND;
  }

  private static void fleet(FleetSize size, int seeds, Results results, CommandLine line)
      throws IOException, ExecutionException, InterruptedException {
    String plots = line.getOptionValue("plots");
    for (Scenario scenario : Scenario.values()) {
      if (!line.getOptionValue("scenario", scenario.name()).equals(scenario.name())) {
        continue;
      }
      Map<String, List<Tally>> tallies = measure(size, scenario, seeds, results);
      FleetBounds.check(size, scenario, tallies, results);
      if (plots != null && (scenario == Scenario.ZONE || scenario == Scenario.HOT_CHAT)) {
        FleetPlots.write(Path.of(plots), size, scenario, tallies);
      }
    }
  }

  private static Map<String, List<Tally>> measure(
      FleetSize size, Scenario scenario, int seeds, Results results)
      throws ExecutionException, InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(THREADS);
    Map<String, List<Future<Tally>>> runs = new LinkedHashMap<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + seeds; seed++) {
      long runSeed = seed;
      FleetBench.strategies(size, RouterSettings.DEFAULTS, seed)
          .forEach(
              (name, strategy) ->
                  runs.computeIfAbsent(name, key -> new ArrayList<>())
                      .add(
                          threads.submit(() -> FleetBench.run(size, scenario, runSeed, strategy))));
    }
    threads.shutdown();
    Map<String, List<Tally>> tallies = new LinkedHashMap<>();
    for (Map.Entry<String, List<Future<Tally>>> run : runs.entrySet()) {
      List<Tally> done = new ArrayList<>();
      for (Future<Tally> future : run.getValue()) {
        done.add(future.get());
        long seed = FIRST_SEED + done.size() - 1;
        results.print(FleetBench.line(size, scenario, run.getKey(), seed, done.getLast()));
      }
      tallies.put(run.getKey(), done);
    }
    return tallies;
  }
}
