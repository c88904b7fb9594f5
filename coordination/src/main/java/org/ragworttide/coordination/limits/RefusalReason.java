package org.ragworttide.coordination.limits;

/** Why a request was not admitted. */
public enum RefusalReason {
  /** The organisation has used its rate and burst. */
  RATE_EXCEEDED,
  /** The organisation's owner did not answer in time and the reserve is used. */
  OWNER_UNREACHABLE,
  /** No owner is known and the reserve is used. */
  OWNER_UNKNOWN,
  /** The configuration in force does not have the organisation. */
  UNKNOWN_ORGANISATION
}
