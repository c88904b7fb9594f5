package org.ragworttide.coordination.placement;

/**
 * Number of requests of all VMs at an upstream, as the upstream reported it.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param upstream identifies the incarnation of the upstream, see {@link
 *     UpstreamLoad#incarnationKey}
 * @param requests the requests that it ran or that waited there
 * @param atMillis when it reported them, relative to a statement or on the clock of a VM
 */
public record LoadReport(int upstream, int requests, long atMillis) {

  /** Checks the range. */
  public LoadReport {
    if (requests < 0) {
      throw new IllegalArgumentException("requests must not be negative");
    }
  }

  /** Returns the report with its time moved by the given milliseconds, such as to another clock. */
  public LoadReport moveTime(long millis) {
    return new LoadReport(upstream, requests, atMillis + millis);
  }
}
