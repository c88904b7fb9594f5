package org.ragworttide.coordination.retry;

/** How an attempt at an upstream went, as far as it speaks about the upstream's health. */
public enum AttemptOutcome {
  /** The upstream began its answer. */
  ANSWERED,
  /** The upstream refused the connection, broke it, or timed out. */
  FAILED,
  /** The upstream was at its limit; it is not ill. */
  BUSY,
  /** The request itself was at fault; it says nothing about the upstream. */
  REQUEST_AT_FAULT
}
