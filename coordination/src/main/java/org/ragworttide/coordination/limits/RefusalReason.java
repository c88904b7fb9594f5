package org.ragworttide.coordination.limits;

/** Reason for which a request was not admitted. */
public enum RefusalReason {
  /** The organisation has used its rate and burst. */
  RATE_EXCEEDED,
  /** The owner of the limit did not answer in time and the reserve is exhausted. */
  OWNER_UNREACHABLE,
  /** No owner of the limit is known and the reserve is exhausted. */
  OWNER_UNKNOWN,
  /** The current configuration does not contain the organisation. */
  UNKNOWN_ORGANISATION
}
