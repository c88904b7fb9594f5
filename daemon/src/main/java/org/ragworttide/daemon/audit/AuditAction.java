package org.ragworttide.daemon.audit;

/** The kinds of change that the audit trail records. */
public enum AuditAction {
  /** A configuration version came into force. */
  CONFIGURATION_APPLIED,
  /** A configuration version was refused. */
  CONFIGURATION_REFUSED,
  /** A key stopped working. */
  KEY_WITHDRAWN,
  /** A key began to work. */
  KEY_GIVEN,
  /** An availability zone was taken out or brought back. */
  ZONE_CHANGED,
  /** An upstream was taken out or brought back. */
  UPSTREAM_CHANGED,
  /** An organisation's rate or burst changed. */
  RATE_CHANGED,
  /** A VM list came into force. */
  VM_LIST_APPLIED,
  /** An engine was ordered to load or unload weights or to change its role. */
  ENGINE_ORDERED,
  /** The daemon began to drain. */
  DRAIN
}
