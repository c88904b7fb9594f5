package org.ragworttide.coordination.versions;

/** Counts the events of the spread of versions; not safe for use by several threads. */
final class VersionTally {
  private long accepted;
  private long staleOffers;
  private long conflicts;
  private long rejected;
  private long wholeReads;

  void accepted() {
    accepted++;
  }

  void staleOffer() {
    staleOffers++;
  }

  void conflict() {
    conflicts++;
  }

  void rejected() {
    rejected++;
  }

  void wholeRead() {
    wholeReads++;
  }

  VersionCounters counters() {
    return new VersionCounters(accepted, staleOffers, conflicts, rejected, wholeReads);
  }
}
