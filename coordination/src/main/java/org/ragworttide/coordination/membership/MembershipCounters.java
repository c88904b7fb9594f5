package org.ragworttide.coordination.membership;

/**
 * Events of the membership view since the start.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param listsAdopted lists that became the newest
 * @param listsGoneBack offered lists older than the newest
 * @param listsInConflict offered lists of the newest version with other content
 * @param staleIncarnations messages of a run that is over
 * @param unexpectedMessages messages that matched nothing and changed nothing
 */
public record MembershipCounters(
    long listsAdopted,
    long listsGoneBack,
    long listsInConflict,
    long staleIncarnations,
    long unexpectedMessages) {}
