package org.ragworttide.daemon.audit;

import java.util.Objects;

/**
 * One change, for telling later who or what changed something.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param number counts the entries of this process from 1
 * @param atEpochMillis when, by this VM's clock
 * @param action what kind of change
 * @param actor who or what caused it
 * @param subject what changed
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

  /** Checks that nothing is missing. */
  public AuditEntry {
    Objects.requireNonNull(action, "action");
    Objects.requireNonNull(actor, "actor");
    Objects.requireNonNull(subject, "subject");
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(to, "to");
  }
}
