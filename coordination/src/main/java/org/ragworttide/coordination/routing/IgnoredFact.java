package org.ragworttide.coordination.routing;

/** Why an input fact was ignored. */
public enum IgnoredFact {
  /** The upstream list was empty. */
  EMPTY_UPSTREAMS,
  /** The upstream list named an upstream twice. */
  DUPLICATE_UPSTREAM,
  /** The fact names an upstream outside the list. */
  UNKNOWN_UPSTREAM,
  /** A count was negative or beyond what an engine can hold. */
  ABSURD_LOAD,
  /** The report claims to be measured after now. */
  FUTURE_REPORT,
  /** The report was measured no later than the last one. */
  OLD_REPORT,
  /** The cache event came after a later one of its engine. */
  OLD_CACHE_EVENT,
  /** The number or rank of VMs was impossible. */
  ABSURD_FLEET
}
