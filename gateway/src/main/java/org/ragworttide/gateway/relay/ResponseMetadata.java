package org.ragworttide.gateway.relay;

import java.util.Optional;

/**
 * Metadata that the headers of an upstream's response carry.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param requestId the id of the request that it answers, empty if the response has none
 * @param hasReceipt whether it carries the upstream's receipt
 * @param notRun whether the upstream reports that the request has not run
 * @param encoded whether the body has a content encoding, which means that it has been changed on
 *     its way
 * @param load the upstream's load, if the response reports it
 * @param statement what the upstream states about the requests that it wants
 */
public record ResponseMetadata(
    String requestId,
    boolean hasReceipt,
    boolean notRun,
    boolean encoded,
    Optional<Load> load,
    UpstreamStatement statement) {

  /**
   * Requests at an upstream.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param running requests that the upstream runs
   * @param waiting requests that wait for a slot
   * @param slots the number of requests that it runs at a time
   */
  public record Load(int running, int waiting, int slots) {}
}
