package org.ragworttide.daemon.relay;

/**
 * Limits of the relay.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param maxAttempts most upstreams tried for one request, the first included
 * @param maxAnswerBytes largest answer that is not a stream
 * @param maxEventBytes largest event of a stream
 * @param firstByteMillis longest time until a stream begins
 * @param stallMillis longest time without a byte of a stream while the caller waits for one
 * @param lateAnswerMillis how long a non-idempotent run goes on after its caller has left
 */
public record RelaySettings(
    int maxAttempts,
    int maxAnswerBytes,
    int maxEventBytes,
    long firstByteMillis,
    long stallMillis,
    long lateAnswerMillis) {

  /** Checks the ranges. */
  public RelaySettings {
    if (maxAttempts <= 0
        || maxAnswerBytes <= 0
        || maxEventBytes <= 0
        || firstByteMillis <= 0
        || stallMillis <= 0
        || lateAnswerMillis <= 0) {
      throw new IllegalArgumentException("limits of the relay must be positive");
    }
  }

  /** Returns the settings with another longest time without a byte of a stream. */
  public RelaySettings withStallMillis(long millis) {
    return new RelaySettings(
        maxAttempts, maxAnswerBytes, maxEventBytes, firstByteMillis, millis, lateAnswerMillis);
  }

  /** Returns the settings used when none are given. */
  public static RelaySettings defaults() {
    return new RelaySettings(3, 4 << 20, 256 << 10, 30_000, 20_000, 30_000);
  }
}
