package org.ragworttide.gateway.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an upstream states in a response about the requests that it wants.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param leaving whether it is about to stop
 * @param pauseMillis milliseconds for which it wants no requests of this VM, positive; empty if it
 *     states none
 * @param unreadable a statement that is not understood and has no effect, for logs
 */
public record UpstreamStatement(
    boolean leaving, OptionalLong pauseMillis, Optional<String> unreadable) {

  /** The statement of a response that contains none. */
  public static final UpstreamStatement NONE =
      new UpstreamStatement(false, OptionalLong.empty(), Optional.empty());

  /** Checks the range of the pause. */
  public UpstreamStatement {
    if (pauseMillis.isPresent() && pauseMillis.getAsLong() <= 0) {
      throw new IllegalArgumentException("pauseMillis must be positive");
    }
  }
}
