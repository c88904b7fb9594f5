package org.ragworttide.coordination.routing;

/** Reason for which the router ignores an input fact. */
public enum IgnoredFact {
  /** The upstream list was empty. */
  EMPTY_UPSTREAMS,
  /** The upstream list named an upstream twice. */
  DUPLICATE_UPSTREAM,
  /** The fact names an upstream outside the list. */
  UNKNOWN_UPSTREAM,
  /** A count was negative or beyond what an engine can hold. */
  ABSURD_LOAD,
  /** The report states a measuring time too far in the future. */
  FUTURE_REPORT,
  /** The report was measured no later than the last one. */
  OLD_REPORT,
  /** The cache event arrived after a later event of its engine. */
  OLD_CACHE_EVENT,
  /** The number of daemons or the rank was out of range. */
  ABSURD_FLEET
}
