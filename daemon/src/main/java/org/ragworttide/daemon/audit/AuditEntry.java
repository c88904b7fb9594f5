package org.ragworttide.daemon.audit;

import java.util.Objects;

/**
 * Record of one change and of the person or program that caused it.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param number sequence number in this process, from 1
 * @param atEpochMillis time of the change, by the clock of this VM
 * @param action kind of the change
 * @param actor person or program that caused the change
 * @param subject the changed object
 * @param from the value before, empty if there was none
 * @param to the value after, empty if there is none
 */
public record AuditEntry(
    long number,
    long atEpochMillis,
    AuditAction action,
    String actor,
    String subject,
    String from,
    String to) {

  /** Checks that no component is null. */
  public AuditEntry {
    Objects.requireNonNull(action, "action");
    Objects.requireNonNull(actor, "actor");
    Objects.requireNonNull(subject, "subject");
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(to, "to");
  }
}
