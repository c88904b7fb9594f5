package org.ragworttide.coordination.versions;

/**
 * Event counts of the propagation of versions since the start of the process.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param accepted versions that came into force on this VM
 * @param staleOffers reads of the platform that were older than the version in force
 * @param conflicts documents of the version in force with another digest
 * @param rejected documents and deltas that did not match their digest or were not valid
 * @param wholeReads reads of the whole document from the platform because no delta led to it
 */
public record VersionCounters(
    long accepted, long staleOffers, long conflicts, long rejected, long wholeReads) {}
