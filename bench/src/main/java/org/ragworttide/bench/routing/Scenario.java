package org.ragworttide.bench.routing;

/** Event that a measurement simulates in the fleet. */
enum Scenario {
  /** No event. */
  STEADY,
  /** Engines leave, rejoin and flap, one after the other. */
  CHURN,
  /** One availability zone goes out of service and later returns. */
  ZONE,
  /** One chat sends a tenth of all requests in the second half. */
  HOT_CHAT,
  /** Load reports stop in the second half. */
  STALLED_REPORTS
}
