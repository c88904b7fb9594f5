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
 */
public record RequestMetadata(
    String id, OptionalLong deadlineMillis, String key, Optional<Prompt> prompt) {

  @Override
  public String toString() {
    return "RequestMetadata[" + id + "]";
  }
}
