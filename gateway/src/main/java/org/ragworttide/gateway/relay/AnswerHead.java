package org.ragworttide.gateway.relay;

import java.util.Optional;

/**
 * What an upstream's answer says of itself beside its status.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param requestId the request that it answers, empty if it names none
 * @param sealed whether it bears the upstream's receipt
 * @param notRun whether the upstream says that the request has not run
 * @param encoded whether the body has been changed on its way
 * @param load the upstream's load, if it tells it
 */
public record AnswerHead(
    String requestId, boolean sealed, boolean notRun, boolean encoded, Optional<Load> load) {

  /**
   * Requests at an upstream.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param running requests that are worked on
   * @param waiting requests that wait
   * @param slots how many are worked on at a time
   */
  public record Load(int running, int waiting, int slots) {}
}
