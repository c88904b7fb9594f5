package org.ragworttide.bench.routing;

/** What happens to the fleet during a measurement. */
enum Scenario {
  /** Nothing. */
  STEADY,
  /** Engines leave, join anew and flap, one after the other. */
  CHURN,
  /** One availability zone is taken out and brought back. */
  ZONE,
  /** One chat sends a tenth of all requests in the second half. */
  HOT_CHAT,
  /** Load reports stop in the second half. */
  STALLED_REPORTS
}
