package org.ragworttide.coordination.placement;

import java.util.OptionalDouble;

/**
 * Request limit of an upstream as a VM states it to others.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param upstream identifies the incarnation of the upstream, see {@link
 *     UpstreamLoad#incarnationKey}
 * @param perSecond the limit, empty if the upstream names none any more
 * @param namedAtMillis when it was named, relative to the statement or on the clock of a VM
 */
public record StatedLimit(int upstream, OptionalDouble perSecond, long namedAtMillis) {

  /** Returns the limit with its time moved by the given milliseconds, such as to another clock. */
  public StatedLimit moveTime(long millis) {
    return new StatedLimit(upstream, perSecond, namedAtMillis + millis);
  }
}
