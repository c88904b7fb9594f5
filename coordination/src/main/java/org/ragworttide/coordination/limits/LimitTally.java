package org.ragworttide.coordination.limits;

/** Counts the events of the limits; not safe for use by several threads. */
final class LimitTally {
  private long admitted;
  private long retries;
  private long refused;
  private long fromReserve;
  private long asks;
  private long unexpected;

  void admitted() {
    admitted++;
  }

  void retry() {
    retries++;
  }

  void refused() {
    refused++;
  }

  void fromReserve() {
    fromReserve++;
  }

  void ask() {
    asks++;
  }

  void unexpected() {
    unexpected++;
  }

  LimitCounters counters() {
    return new LimitCounters(admitted, retries, refused, fromReserve, asks, unexpected);
  }
}
