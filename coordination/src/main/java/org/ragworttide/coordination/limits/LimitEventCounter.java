package org.ragworttide.coordination.limits;

/** Counts the events of the limits; not safe for use by several threads. */
final class LimitEventCounter {
  private long admitted;
  private long retries;
  private long refused;
  private long fromReserve;
  private long asks;
  private long unexpected;

  void countAdmitted() {
    admitted++;
  }

  void countRetry() {
    retries++;
  }

  void countRefused() {
    refused++;
  }

  void countFromReserve() {
    fromReserve++;
  }

  void countAsk() {
    asks++;
  }

  void countUnexpected() {
    unexpected++;
  }

  LimitCounters counters() {
    return new LimitCounters(admitted, retries, refused, fromReserve, asks, unexpected);
  }
}
