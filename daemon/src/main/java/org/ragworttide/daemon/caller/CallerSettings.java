package org.ragworttide.daemon.caller;

/**
 * Settings of the listener towards callers.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param host the IP address to listen on
 * @param port the port to listen on, zero for any free port
 * @param maxTargetBytes longest request line
 * @param maxHeaderBytes largest head of a request
 * @param maxBodyBytes largest body of a request
 * @param receiveTimeoutMillis longest time to receive a head, and again to receive a body
 * @param idleMillis how long an unused connection is kept
 * @param drainNoticeMillis how long the listener stays open after a drain has begun
 */
public record CallerSettings(
    String host,
    int port,
    int maxTargetBytes,
    int maxHeaderBytes,
    int maxBodyBytes,
    long receiveTimeoutMillis,
    long idleMillis,
    long drainNoticeMillis) {

  /** Checks the ranges of the values. */
  public CallerSettings {
    if (port < 0
        || maxTargetBytes <= 0
        || maxHeaderBytes <= 0
        || maxBodyBytes <= 0
        || receiveTimeoutMillis <= 0
        || idleMillis <= 0
        || drainNoticeMillis < 0) {
      throw new IllegalArgumentException("limits of the callers' listener must be positive");
    }
  }

  /** Returns these settings with the limits that operators may configure. */
  public CallerSettings withLimits(int headerBytes, int bodyBytes, long idle) {
    return new CallerSettings(
        host,
        port,
        maxTargetBytes,
        headerBytes,
        bodyBytes,
        receiveTimeoutMillis,
        idle,
        drainNoticeMillis);
  }

  /** Returns the default settings for the address. */
  public static CallerSettings defaults(String host, int port) {
    return new CallerSettings(host, port, 8 << 10, 16 << 10, 1 << 20, 10_000, 60_000, 2_000);
  }
}
