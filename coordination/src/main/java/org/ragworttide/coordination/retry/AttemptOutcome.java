package org.ragworttide.coordination.retry;

/** Outcome of an attempt at an upstream, as far as it indicates the upstream's health. */
public enum AttemptOutcome {
  /** The upstream began its answer. */
  ANSWERED,
  /** The upstream refused or broke the connection, or timed out. */
  FAILED,
  /** The upstream was at its limit, which does not mean that it is unhealthy. */
  BUSY,
  /** The request itself was at fault; the outcome says nothing about the upstream's health. */
  REQUEST_AT_FAULT
}
