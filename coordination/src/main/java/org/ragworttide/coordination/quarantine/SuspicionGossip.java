package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the reports and clearances that a VM's next statement includes.
 *
 * <p>Handles a fleet in which a statement reaches only two random VMs: each VM passes on what is
 * news to it, so that it reaches all VMs within a number of statements that grows with the
 * logarithm of their number. In a storm of crashes, the evidence for quarantines keeps its space,
 * and of the news the latest goes first.
 *
 * <p>Invariant: a statement includes at most {@link #MAX_REPORTS} reports and {@link
 * #MAX_CLEARANCES} clearances. Confined to one thread.
 */
final class SuspicionGossip {
  /** Reports in a statement, about 26 bytes each. */
  private static final int MAX_REPORTS = 5;

  /** Of these, those that repeat the evidence for quarantines: enough for one of them. */
  private static final int MAX_EVIDENCE = 3;

  /** Clearances in a statement, eight bytes each. */
  private static final int MAX_CLEARANCES = 4;

  /**
   * Statements that include the same news. With two recipients each, a report misses one VM in a
   * hundred thousand.
   */
  private static final int STATEMENTS_PER_ITEM = 6;

  /** News that waits; in a storm the oldest is dropped. */
  private static final int MAX_WAITING = 64;

  private final List<Waiting<CrashReport>> reports = new ArrayList<>();
  private final List<Waiting<Clearance>> clearances = new ArrayList<>();
  private int rotation;

  private static final class Waiting<T> {
    private final T item;
    private int included;

    private Waiting(T item) {
      this.item = item;
    }
  }

  void add(CrashReport report) {
    add(reports, report);
  }

  void add(Clearance clearance) {
    if (clearances.stream().noneMatch(it -> it.item.suspect().equals(clearance.suspect()))) {
      add(clearances, clearance);
    }
  }

  private static <T> void add(List<Waiting<T>> waiting, T item) {
    if (waiting.size() == MAX_WAITING) {
      waiting.removeLast();
    }
    waiting.addFirst(new Waiting<>(item));
  }

  /**
   * Returns what the next statement includes.
   *
   * @param evidence the reports that are evidence for quarantines, which are repeated as long as
   *     these last, for VMs that have just started
   */
  SuspicionStatement next(List<CrashReport> evidence) {
    if (reports.isEmpty() && clearances.isEmpty() && evidence.isEmpty()) {
      return SuspicionStatement.EMPTY;
    }
    List<CrashReport> included = new ArrayList<>();
    for (int i = 0; i < Math.min(MAX_EVIDENCE, evidence.size()); i++) {
      included.add(evidence.get(rotation++ % evidence.size()));
    }
    included.addAll(take(reports, MAX_REPORTS - included.size()));
    return new SuspicionStatement(included, take(clearances, MAX_CLEARANCES));
  }

  private static <T> List<T> take(List<Waiting<T>> waiting, int count) {
    waiting.sort(Comparator.comparingInt(it -> it.included));
    List<T> taken = new ArrayList<>();
    for (Waiting<T> each : waiting.subList(0, Math.min(count, waiting.size()))) {
      each.included++;
      taken.add(each.item);
    }
    waiting.removeIf(it -> it.included >= STATEMENTS_PER_ITEM);
    return taken;
  }
}
