package org.ragworttide.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.ragworttide.bench.routing.RoutingBench;

/** Starts the measurement named first on the command line; stateless. */
public final class Main {
  private static final int EXIT_USAGE = 2;
  private static final Map<String, ToIntFunction<String[]>> COMMANDS =
      new TreeMap<>(Map.of("routing", RoutingBench::run));

  private Main() {}

  /** Runs the measurement and exits with its code. */
  public static void main(String[] args) {
    ToIntFunction<String[]> command = args.length == 0 ? null : COMMANDS.get(args[0]);
    if (command == null) {
      System.err.println("usage: bench " + String.join("|", COMMANDS.keySet()) + " [options]");
      System.exit(EXIT_USAGE);
    }
    System.exit(command.applyAsInt(Arrays.copyOfRange(args, 1, args.length)));
  }
}
