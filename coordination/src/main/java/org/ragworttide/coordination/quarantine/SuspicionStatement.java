package org.ragworttide.coordination.quarantine;

import java.util.List;

/**
 * What a VM tells another one about suspects.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param reports crashes that count against suspects
 * @param clearances suspects whose requests have been answered
 */
public record SuspicionStatement(List<CrashReport> reports, List<Clearance> clearances) {
  /** The statement of a VM that suspects nothing. */
  public static final SuspicionStatement EMPTY = new SuspicionStatement(List.of(), List.of());

  /** Copies the lists. */
  public SuspicionStatement {
    reports = List.copyOf(reports);
    clearances = List.copyOf(clearances);
  }

  /**
   * Returns the statement with its times moved by the given milliseconds, such as from the clock of
   * a VM to ages and from ages to the clock of another VM.
   */
  public SuspicionStatement moveTimes(long millis) {
    return new SuspicionStatement(
        reports.stream()
            .map(
                it ->
                    new CrashReport(
                        it.suspects(),
                        it.upstream(),
                        it.sentAtMillis() + millis,
                        it.brokenAtMillis() + millis))
            .toList(),
        clearances.stream()
            .map(it -> new Clearance(it.suspect(), it.answeredAtMillis() + millis))
            .toList());
  }
}
