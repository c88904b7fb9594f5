package org.ragworttide.bench;

import java.lang.management.ManagementFactory;

/** Reads what a measurement has used of this process; stateless, safe for use by any thread. */
public final class Meters {

  private Meters() {}

  /** Returns the processor time of the calling thread, in nanoseconds. */
  public static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  /** Returns the bytes in use on the heap, after a collection. */
  public static long usedHeapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
