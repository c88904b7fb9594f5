package org.ragworttide.coordination.versions;

/**
 * Events of the spread of versions since the start.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param accepted versions that came into force here
 * @param staleOffers reads of the platform that were older than the version in force
 * @param conflicts documents of the version in force with another digest
 * @param rejected documents and deltas that did not match their digest or were not valid
 * @param wholeReads times the whole document had to be read from the platform
 */
public record VersionCounters(
    long accepted, long staleOffers, long conflicts, long rejected, long wholeReads) {}
