package org.ragworttide.bench;

/** Group of measurements; each instance is used by one thread. */
@FunctionalInterface
public interface Benchmark {

  /** Runs the measurements and reports each result. */
  void run(Report report);
}
