package org.ragworttide.bench.coordination;

/** How the requests of the organisations arrive and what fails meanwhile. */
enum LoadPattern {
  /** Steady arrivals at all VMs alike. */
  EVEN,
  /** Four fifths of an organisation's requests arrive at one VM. */
  SKEWED,
  /** Four times the rate for a fifth of the time, little between. */
  BURSTY,
  /** Two VMs are cut off from all others for a third of the time. */
  PARTITIONED,
  /** The owners die, one after the other, and a lease time passes without an owner. */
  OWNER_LOSS,
  /** Three organisations send five times their rate. */
  SURGE
}
