package org.ragworttide.gateway.relay;

import java.util.Optional;
import java.util.OptionalLong;
import org.ragworttide.coordination.placement.Prompt;

/**
 * What a caller's request says of itself beside method and path.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param id the id of the caller's attempt, empty if it named none
 * @param deadlineMillis how long the caller waits, from its sending
 * @param key the caller's key, empty if it gave none; never logged
 * @param prompt the prompt of a request to a model engine
 */
public record RequestHead(
    String id, OptionalLong deadlineMillis, String key, Optional<Prompt> prompt) {

  @Override
  public String toString() {
    return "RequestHead[" + id + "]";
  }
}
