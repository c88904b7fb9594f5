package org.ragworttide.coordination.limits;

/**
 * The time for which this VM is the only owner of a resource.
 *
 * <p>Invariant: no other VM owns the resource within it, and every permit of earlier owners is over
 * at its start. Both ends are times of this VM's timer service. Immutable, safe for use by any
 * thread.
 *
 * @param sinceMillis when the unbroken ownership began
 * @param untilMillis when it ends unless it is renewed
 */
public record Ownership(long sinceMillis, long untilMillis) {}
