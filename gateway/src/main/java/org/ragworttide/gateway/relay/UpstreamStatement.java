package org.ragworttide.gateway.relay;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What an upstream states in a response about the requests that it wants.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param leaving whether it is about to stop, which concerns all VMs
 * @param pauseMillis milliseconds for which it wants no requests of this VM, positive; empty if it
 *     states none
 * @param requestLimit the requests per second that it accepts from all VMs together, not negative;
 *     empty if it names none
 * @param endsLimit whether it ends an earlier limit by naming none
 * @param toleratedRejections the requests for which it has no room and that it may reject per
 *     second, from all VMs together, before it fails, not negative; empty if it states none
 * @param endsTolerance whether it ends an earlier tolerance by stating none
 * @param unreadable a statement that is not understood and has no effect, for logs
 */
public record UpstreamStatement(
    boolean leaving,
    OptionalLong pauseMillis,
    OptionalDouble requestLimit,
    boolean endsLimit,
    OptionalInt toleratedRejections,
    boolean endsTolerance,
    Optional<String> unreadable) {

  /** The statement of a response that contains none. */
  public static final UpstreamStatement NONE =
      new UpstreamStatement(
          false,
          OptionalLong.empty(),
          OptionalDouble.empty(),
          false,
          OptionalInt.empty(),
          false,
          Optional.empty());

  /** Checks the ranges. */
  public UpstreamStatement {
    if (pauseMillis.isPresent() && pauseMillis.getAsLong() <= 0) {
      throw new IllegalArgumentException("pauseMillis must be positive");
    }
    if (requestLimit.isPresent() && (requestLimit.getAsDouble() < 0 || endsLimit)) {
      throw new IllegalArgumentException("a limit must not be negative or ended where it is named");
    }
    if (toleratedRejections.isPresent() && (toleratedRejections.getAsInt() < 0 || endsTolerance)) {
      throw new IllegalArgumentException(
          "a tolerance must not be negative or ended where it is stated");
    }
  }
}
