package org.ragworttide.gateway.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.placement.Prompt;

/**
 * Metadata that the headers of a caller's request carry.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param id the request's id, which differs each time that the caller sends the request; empty if
 *     it has none
 * @param deadlineMillis milliseconds for which the caller waits, from when it sent the request
 * @param key the caller's key, empty if the request has none; never logged
 * @param prompt the prompt, if the request is for a model engine
 * @param continuation the stream that the request continues, if it does not begin one
 */
public record RequestMetadata(
    String id,
    OptionalLong deadlineMillis,
    String key,
    Optional<Prompt> prompt,
    Optional<Continuation> continuation) {

  /**
   * What a caller knows of a stream that broke off and that its request continues.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param firstRequestId the id of the caller's request that received the stream's first event,
   *     empty if the caller does not name it
   * @param lastEventId the id of the last event that the caller received
   */
  public record Continuation(Optional<String> firstRequestId, String lastEventId) {}

  @Override
  public String toString() {
    return "RequestMetadata[" + id + "]";
  }
}
