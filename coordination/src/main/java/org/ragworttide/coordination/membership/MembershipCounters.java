package org.ragworttide.coordination.membership;

/**
 * Event counts of the membership view since the start of the process.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param adoptedLists lists adopted as the newest
 * @param olderLists offered lists older than the newest
 * @param conflictingLists offered lists of the newest version with other content
 * @param staleIncarnations messages of an earlier run of the sender
 * @param unexpectedMessages messages that matched no open probe or page transfer, and were ignored
 */
public record MembershipCounters(
    long adoptedLists,
    long olderLists,
    long conflictingLists,
    long staleIncarnations,
    long unexpectedMessages) {}
