package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds what crashed requests have in common.
 *
 * <p>An upstream that crashes leaves several unanswered requests, and only one of them has caused
 * the crash; its other parts may be popular. So the fewest suspects that explain the crashes are
 * sought: first the suspect of most crashes, then, among the crashes that it does not explain, the
 * next one. A suspect stands for all that its crashed requests have in common, because nothing
 * tells which part of it is to blame: a request that contains only some of it may be sound.
 *
 * <p>Only successive crashes count, in which each request was sent after the crash before. If
 * several upstreams fail together, for example because their zone loses power, their requests were
 * sent before any of them failed, and the failures say nothing about a request.
 *
 * <p>Stateless, safe for use by any thread.
 */
final class CrashCauses {
  /** Crashes that one content must have caused; a single one may be a coincidence. */
  private static final int MIN_CONTENT_CRASHES = 2;

  /** Crashes that one part must have caused, in requests that may differ in all else. */
  private static final int MIN_PART_CRASHES = 3;

  private static final Comparator<CrashCause> BEST_LAST =
      Comparator.comparingInt(CrashCause::crashes).thenComparingInt(it -> it.common().size());

  private CrashCauses() {}

  /** Returns the causes that explain successive crashes, the one of most crashes first. */
  static List<CrashCause> find(Collection<CrashReport> reports) {
    List<CrashCause> causes = new ArrayList<>();
    List<CrashReport> unexplained = new ArrayList<>(reports);
    Optional<CrashCause> best = best(unexplained);
    while (best.isPresent()) {
      CrashCause cause = best.get();
      causes.add(cause);
      Set<Integer> explained = new HashSet<>();
      for (CrashReport report : unexplained) {
        if (report.suspects().containsAll(cause.common())) {
          explained.add(report.upstream());
        }
      }
      unexplained.removeIf(report -> explained.contains(report.upstream()));
      best = best(unexplained);
    }
    return causes;
  }

  private static Optional<CrashCause> best(List<CrashReport> reports) {
    Map<Suspect, List<CrashReport>> bySuspect = new HashMap<>();
    for (CrashReport report : reports) {
      for (Suspect suspect : report.suspects()) {
        bySuspect.computeIfAbsent(suspect, key -> new ArrayList<>()).add(report);
      }
    }
    return bySuspect.entrySet().stream()
        .flatMap(entry -> cause(entry.getKey(), entry.getValue()).stream())
        .max(BEST_LAST);
  }

  private static Optional<CrashCause> cause(Suspect suspect, List<CrashReport> reports) {
    int minCrashes = suspect.isPromptPart() ? MIN_PART_CRASHES : MIN_CONTENT_CRASHES;
    if (reports.size() < minCrashes) {
      return Optional.empty();
    }
    int crashes = countSuccessive(reports);
    if (crashes < minCrashes) {
      return Optional.empty();
    }
    Set<Suspect> common = new HashSet<>(reports.getFirst().suspects());
    reports.forEach(report -> common.retainAll(report.suspects()));
    long lastCrashMillis =
        reports.stream().mapToLong(CrashReport::brokenAtMillis).max().orElseThrow();
    return Optional.of(new CrashCause(common, crashes, lastCrashMillis));
  }

  /**
   * Returns the largest number of crashes in which each request was sent after the answer to the
   * one before had broken off.
   */
  private static int countSuccessive(List<CrashReport> reports) {
    List<CrashReport> inOrder = new ArrayList<>(reports);
    inOrder.sort(Comparator.comparingLong(CrashReport::brokenAtMillis));
    int crashes = 0;
    long lastBrokenAtMillis = Long.MIN_VALUE;
    for (CrashReport report : inOrder) {
      if (report.sentAtMillis() >= lastBrokenAtMillis) {
        crashes++;
        lastBrokenAtMillis = report.brokenAtMillis();
      }
    }
    return crashes;
  }
}
