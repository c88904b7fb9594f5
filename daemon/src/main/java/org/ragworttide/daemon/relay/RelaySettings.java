package org.ragworttide.daemon.relay;

/**
 * Limits of the relay.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param maxAttempts maximum number of attempts for one request, including the first
 * @param maxAnswerBytes largest answer that is not a stream
 * @param maxEventBytes largest event of a stream
 * @param firstByteMillis longest time until the first byte of a stream
 * @param stallMillis longest time without a byte of a stream while the caller is ready to receive
 *     one
 * @param lateAnswerMillis how long a non-idempotent run may continue after its caller's deadline
 */
public record RelaySettings(
    int maxAttempts,
    int maxAnswerBytes,
    int maxEventBytes,
    long firstByteMillis,
    long stallMillis,
    long lateAnswerMillis) {

  /** Checks that all limits are positive. */
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

  /** Returns these settings with another longest time without a byte of a stream. */
  public RelaySettings withStallMillis(long millis) {
    return new RelaySettings(
        maxAttempts, maxAnswerBytes, maxEventBytes, firstByteMillis, millis, lateAnswerMillis);
  }

  /** Returns the default settings. */
  public static RelaySettings defaults() {
    return new RelaySettings(3, 4 << 20, 256 << 10, 30_000, 20_000, 30_000);
  }
}
