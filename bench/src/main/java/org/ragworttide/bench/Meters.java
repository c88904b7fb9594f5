package org.ragworttide.bench;

import java.lang.management.ManagementFactory;

/** Reads the CPU time and heap usage of this process; stateless, safe for use by any thread. */
public final class Meters {

  private Meters() {}

  /** Returns the CPU time of the calling thread, in nanoseconds. */
  public static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the bytes in use on the heap after a garbage collection. */
  public static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
