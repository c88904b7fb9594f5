package org.ragworttide.coordination.limits;

/**
 * Interval in which this VM is the only owner of a resource.
 *
 * <p>Invariant: no other VM owns the resource within the interval, and every permit of earlier
 * owners has expired at its start. Both bounds are times of this VM's timer service. Immutable,
 * safe for use by any thread.
 *
 * @param sinceMillis when the uninterrupted ownership began
 * @param untilMillis when it expires unless it is renewed
 */
public record Ownership(long sinceMillis, long untilMillis) {}
