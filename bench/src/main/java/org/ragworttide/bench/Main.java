package org.ragworttide.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.ragworttide.bench.coordination.CoordinationBenchmark;
import org.ragworttide.bench.fleet.FleetBenchmark;
import org.ragworttide.bench.path.PathBenchmark;
import org.ragworttide.bench.routing.RoutingBench;

/** Starts the benchmark that the first command-line argument names; stateless. */
public final class Main {
  private static final int EXIT_USAGE = 2;
  private static final Map<String, ToIntFunction<String[]>> COMMANDS =
      new TreeMap<>(
          Map.of(
              "coordination",
              options -> run(new CoordinationBenchmark()),
              "fleet",
              options -> run(new FleetBenchmark()),
              "path",
              options -> run(new PathBenchmark()),
              "routing",
              RoutingBench::run));

  private Main() {}

  /** Runs the benchmark; exits with 1 if a result misses its bound and 2 on wrong usage. */
  public static void main(String[] args) {
    ToIntFunction<String[]> command = args.length == 0 ? null : COMMANDS.get(args[0]);
    if (command == null) {
      System.err.println("usage: bench " + String.join("|", COMMANDS.keySet()) + " [options]");
      System.exit(EXIT_USAGE);
      return;
    }
    System.exit(command.applyAsInt(Arrays.copyOfRange(args, 1, args.length)));
  }

  private static int run(Benchmark benchmark) {
    Report report = new Report(System.out);
    benchmark.run(report);
    return report.isWithinBounds() ? 0 : 1;
  }
}
