package org.ragworttide.bench.coordination;

/** Arrival pattern of the requests, with the faults that the trial injects. */
enum LoadPattern {
  /** Steady arrivals, distributed evenly over all VMs. */
  EVEN,
  /** Four fifths of an organisation's requests arrive at one VM. */
  SKEWED,
  /** Four times the rate for a fifth of the time, and a tenth of the rate otherwise. */
  BURSTY,
  /** A network partition isolates two VMs for a third of the time. */
  PARTITIONED,
  /**
   * The owners fail one after the other; each failure leaves one lease duration without an owner.
   */
  OWNER_LOSS,
  /** Three organisations send five times their rate. */
  SURGE
}
