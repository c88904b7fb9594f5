package org.ragworttide.bench.routing;

/**
 * The size of a fleet and its traffic in a measurement.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param name its name in the results
 * @param daemons entry daemons
 * @param engines model engines, spread over three availability zones
 * @param requestsPerSecond requests of the whole fleet
 * @param answerMillis mean length of an answer
 * @param cacheEntries prefixes that an engine caches
 * @param seconds length of the measurement, warm-up included
 * @param warmupSeconds start of the measurement that does not count
 * @param pauseMedianMillis median pause of a chat
 */
record Size(
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
  static final Size TODAY = new Size("today", 7, 13, 10, 14_000, 400, 3_600, 600, 45_000);
  static final Size TARGET = new Size("target", 350, 600, 3_000, 18_700, 800, 300, 90, 20_000);

  /** Returns the same fleet for a shorter time. */
  Size shortened(int newSeconds, int newWarmup) {
    return new Size(
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

  /** Returns the requests in flight at an engine in the mean. */
  double meanLoad() {
    return requestsPerSecond * answerMillis / 1_000 / engines;
  }
}
