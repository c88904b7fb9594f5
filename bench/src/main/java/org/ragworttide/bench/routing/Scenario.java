package org.ragworttide.bench.routing;

/** Event that a measurement simulates in the fleet. */
enum Scenario {
  /** No event. */
  STEADY,
  /** Engines leave, rejoin and flap, one after the other. */
  CHURN,
  /** One availability zone goes out of service and later returns. */
  ZONE,
  /**
   * At the start of the second half, one chat abruptly begins to send a further 2 % of all
   * requests.
   */
  HOT_CHAT,
  /** Load reports stop in the second half. */
  STALLED_REPORTS
}
