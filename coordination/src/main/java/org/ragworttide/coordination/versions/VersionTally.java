package org.ragworttide.coordination.versions;

/** Counts the events of the propagation of versions; not safe for use by several threads. */
final class VersionTally {
  private long accepted;
  private long staleOffers;
  private long conflicts;
  private long rejected;
  private long wholeReads;

  void countAccepted() {
    accepted++;
  }

  void countStaleOffer() {
    staleOffers++;
  }

  void countConflict() {
    conflicts++;
  }

  void countRejected() {
    rejected++;
  }

  void countWholeRead() {
    wholeReads++;
  }

  VersionCounters counters() {
    return new VersionCounters(accepted, staleOffers, conflicts, rejected, wholeReads);
  }
}
