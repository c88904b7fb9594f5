package org.ragworttide.coordination.quarantine;

/**
 * Evidence in favour of a suspect: a request that contains it was answered completely.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param suspect the suspect
 * @param answeredAtMillis when the answer was complete, on the clock of the VM that keeps it
 */
public record Clearance(Suspect suspect, long answeredAtMillis) {}
