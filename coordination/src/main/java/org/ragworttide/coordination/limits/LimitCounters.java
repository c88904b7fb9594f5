package org.ragworttide.coordination.limits;

/**
 * Counts of limit events on one VM since its start.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param admitted requests admitted and counted
 * @param retries requests admitted as retries, not counted again
 * @param refused requests refused
 * @param fromReserve admitted requests that used the reserve
 * @param asks messages sent to owners and to lending peers, including those to this VM itself
 * @param unexpectedMessages answers that matched no ask and had no effect
 */
public record LimitCounters(
    long admitted,
    long retries,
    long refused,
    long fromReserve,
    long asks,
    long unexpectedMessages) {}
