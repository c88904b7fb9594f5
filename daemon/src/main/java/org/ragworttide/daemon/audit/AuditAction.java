package org.ragworttide.daemon.audit;

/** The kinds of change that the audit trail records. */
public enum AuditAction {
  /** A configuration version came into force. */
  CONFIGURATION_APPLIED,
  /** A configuration version was refused. */
  CONFIGURATION_REFUSED,
  /** A key became invalid. */
  KEY_WITHDRAWN,
  /** A key became valid. */
  KEY_GIVEN,
  /** An availability zone was taken out of service or returned to service. */
  ZONE_CHANGED,
  /** An upstream was taken out of service or returned to service. */
  UPSTREAM_CHANGED,
  /** An organisation's rate or burst changed. */
  RATE_CHANGED,
  /** A VM list came into force. */
  VM_LIST_APPLIED,
  /** An engine was ordered to load or unload weights or to change its role. */
  ENGINE_ORDERED,
  /** The daemon started to drain. */
  DRAIN
}
