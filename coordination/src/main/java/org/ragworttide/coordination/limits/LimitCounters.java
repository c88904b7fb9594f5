package org.ragworttide.coordination.limits;

/**
 * Events of the limits on one VM since its start.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param admitted requests admitted and counted
 * @param retries requests admitted as retries, not counted again
 * @param refused requests refused
 * @param fromReserve admitted requests that used the reserve
 * @param asks messages sent to owners
 * @param unexpectedMessages messages that matched nothing and changed nothing
 */
public record LimitCounters(
    long admitted,
    long retries,
    long refused,
    long fromReserve,
    long asks,
    long unexpectedMessages) {}
