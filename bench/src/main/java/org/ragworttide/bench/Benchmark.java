package org.ragworttide.bench;

/** A group of measurements; implementations are used by one thread. */
@FunctionalInterface
public interface Benchmark {

  /** Runs the measurements and reports each. */
  void run(Report report);
}
