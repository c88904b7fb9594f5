package org.ragworttide.bench.routing;

/**
 * Fleet size and traffic that a measurement simulates.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name name of the size in the results
 * @param daemons number of daemons
 * @param engines model engines, spread over three availability zones
 * @param requestsPerSecond request rate of the whole fleet
 * @param answerMillis mean duration of an answer
 * @param cacheEntries number of prefixes that an engine caches
 * @param seconds duration of the measurement, including the warm-up
 * @param warmupSeconds duration of the warm-up, which the results leave out
 * @param pauseMedianMillis median pause between two requests of a chat
 */
record FleetSize(
    String name,
    int daemons,
    int engines,
    double requestsPerSecond,
    double answerMillis,
    int cacheEntries,
    int seconds,
    int warmupSeconds,
    double pauseMedianMillis) {

  static final int ZONES = 3;
  static final FleetSize TODAY = new FleetSize("today", 7, 13, 10, 14_000, 400, 3_600, 600, 45_000);
  static final FleetSize TARGET =
      new FleetSize("target", 350, 600, 3_000, 18_700, 800, 300, 90, 20_000);

  /** Returns the same fleet and traffic with a shorter duration. */
  FleetSize shortened(int newSeconds, int newWarmup) {
    return new FleetSize(
        name,
        daemons,
        engines,
        requestsPerSecond,
        answerMillis,
        cacheEntries,
        newSeconds,
        newWarmup,
        pauseMedianMillis);
  }

  /** Returns the mean number of requests in flight per engine. */
  double meanLoad() {
    return requestsPerSecond * answerMillis / 1_000 / engines;
  }
}
