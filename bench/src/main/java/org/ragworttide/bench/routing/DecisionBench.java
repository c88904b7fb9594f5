package org.ragworttide.bench.routing;

import java.util.Map;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Runs the micro-benchmark of one routing decision and checks its result; stateless. */
final class DecisionBench {
  private static final double MAX_NANOS = 5_000;
  private static final String BYTES = "gc.alloc.rate.norm";

  private DecisionBench() {}

  static void run(Results results) {
    Options options =
        new OptionsBuilder()
            .include(DecisionBenchmark.class.getName())
            .addProfiler(GCProfiler.class)
            .verbosity(VerboseMode.SILENT)
            .build();
    try {
      new Runner(options).run().forEach(run -> print(run, results));
    } catch (RunnerException failure) {
      throw new IllegalStateException(failure);
    }
  }

  private static void print(RunResult run, Results results) {
    String engines = run.getParams().getParam("engines");
    double nanos = run.getPrimaryResult().getScore();
    results.print(
        Results.line(
            "scenario", "DECISION",
            "engines", Integer.valueOf(engines),
            "nanosPerDecision", nanos,
            "errorNanos", run.getPrimaryResult().getScoreError(),
            "bytesPerDecision", bytes(run)));
    results.atMost("decision/" + engines + "/nanos", nanos, MAX_NANOS);
  }

  private static double bytes(RunResult run) {
    for (Map.Entry<String, Result> result : run.getSecondaryResults().entrySet()) {
      if (result.getKey().endsWith(BYTES)) {
        return result.getValue().getScore();
      }
    }
    return Double.NaN;
  }
}
