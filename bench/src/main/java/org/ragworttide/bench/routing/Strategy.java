package org.ragworttide.bench.routing;

/**
 * Engine-selection algorithm under measurement.
 *
 * <p>Invariant: it receives fleet state only through its methods and with a delay, as a daemon
 * does. Confined to one thread.
 */
interface Strategy {

  /**
   * Returns the engine that a daemon selects for a chat, or null if the daemon refuses the request.
   */
  Choice choose(int daemon, int chat);

  /** Delivers a load report to all daemons. */
  void recordLoad(int engine, long incarnation, long measuredAtMillis, int load);

  /** Sets which engines a daemon regards as accepting new requests. */
  void setInService(int daemon, boolean[] inService);

  /** Delivers a cache event to all daemons. */
  default void recordCached(int engine, long sequence, int chat) {}

  /**
   * Selected engine.
   *
   * @param engine index of the engine
   * @param release action that the caller runs when the request ends
   */
  record Choice(int engine, Runnable release) {}
}
