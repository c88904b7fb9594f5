package org.ragworttide.daemon.upstream;

/**
 * Limits of the HTTP client for upstreams.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param connectTimeoutMillis longest time to establish a connection
 * @param maxIdleMillis how long an unused connection is kept
 * @param maxConnections maximum number of pooled connections to one upstream
 */
public record UpstreamSettings(int connectTimeoutMillis, long maxIdleMillis, int maxConnections) {

  /** Checks that all limits are positive. */
  public UpstreamSettings {
    if (connectTimeoutMillis <= 0 || maxIdleMillis <= 0 || maxConnections <= 0) {
      throw new IllegalArgumentException("limits of the upstream client must be positive");
    }
  }

  /** Returns these settings with the limits that operators may configure. */
  public UpstreamSettings withConnections(int connectMillis, int connections) {
    return new UpstreamSettings(connectMillis, maxIdleMillis, connections);
  }

  /** Returns the default settings. */
  public static UpstreamSettings defaults() {
    return new UpstreamSettings(1_000, 30_000, 4_096);
  }
}
