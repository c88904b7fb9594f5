package org.ragworttide.bench.routing;

/**
 * A way of choosing engines that is measured.
 *
 * <p>Invariant: it learns of the fleet only through its methods, late, as a daemon does. Confined
 * to one thread.
 */
interface Strategy {

  /** Returns the choice of one daemon for a chat, or null for a refusal. */
  Choice choose(int daemon, int chat);

  /** Brings a load report to all daemons. */
  void report(int engine, long incarnation, long measuredAtMillis, int load);

  /** Tells a daemon which engines take new work. */
  void open(int daemon, boolean[] open);

  /** Brings a cache event to all daemons. */
  default void cached(int engine, long sequence, int chat) {}

  /**
   * A chosen engine.
   *
   * @param engine its number
   * @param release to be run when the request has ended
   */
  record Choice(int engine, Runnable release) {}
}
