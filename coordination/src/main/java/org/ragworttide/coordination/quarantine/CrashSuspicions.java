package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

/**
 * Finds out which requests crash upstreams, and holds them back. Every VM keeps its own records and
 * passes on what is news to it; no VM owns a suspect.
 *
 * <p>Protects against requests that crash every upstream that begins to answer them: the same
 * request, which its caller sends again, or different requests that share a part of their prompt.
 * They arrive at any VM, so that each VM sees a few of the crashes only. When an upstream crashes,
 * each unanswered request there is reported with its content and with the parts of its prompt that
 * other requests may share. What the reported requests of several successive crashes have in common
 * is quarantined ({@link CrashCauses}). An answer clears all that its request contains: parts that
 * are popular appear in many crashes, but their other requests are answered.
 *
 * <p>Invariants: a request is held back only if it contains all that a cause consists of; a cause
 * contains no suspect that was answered after, or shortly before, one of its crashes, as far as
 * this VM knows; at most {@link #MAX_REPORTS} reports are kept, the latest. Confined to one thread.
 */
public final class CrashSuspicions {
  /**
   * Time after a broken answer within which an upstream must be found gone for its end to count as
   * a crash: three of its heartbeats and a margin.
   */
  private static final long CONFIRM_MILLIS = 5_000;

  /** Time after the last crash in which no quarantined request is sent. */
  private static final long QUARANTINE_MILLIS = 60_000;

  /** Time after which the outcome of a trial is no longer awaited: a long answer's. */
  private static final long TRIAL_MILLIS = 10_000;

  /** Time for which a crash counts. */
  private static final long CRASH_LIFETIME_MILLIS = 600_000;

  /**
   * Time after an answer in which crashes do not count against the answered parts: in a large fleet
   * a VM answers a request with a popular part every few seconds.
   */
  private static final long SOUND_MILLIS = 30_000;

  /** Maximum number of reports: those of a storm of crashes until its cause is known. */
  private static final int MAX_REPORTS = 256;

  /** Maximum number of upstreams with broken answers. */
  private static final int MAX_UPSTREAMS = 1_024;

  /** Maximum number of answered suspects kept: several times those of a VM in half a minute. */
  private static final int MAX_ANSWERED = 4_096;

  private final List<CrashReport> reports = new ArrayList<>();
  private final Map<Suspect, Long> answeredAtMillis = boundedMap(MAX_ANSWERED);
  private final Map<Integer, List<BrokenAnswer>> brokenAnswers = boundedMap(MAX_UPSTREAMS);
  private final Map<Set<Suspect>, Long> trialAtMillis = new HashMap<>();
  private final SuspicionGossip gossip = new SuspicionGossip();
  private final List<Change> changes = new ArrayList<>();
  private final IntSupplier fleetSize;
  private final RandomGenerator random;
  private List<CrashCause> causes = List.of();
  private boolean areCausesKnown = true;

  /**
   * Beginning or end of a quarantine on this VM.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param cause what is quarantined
   * @param begins whether the quarantine begins
   */
  public record Change(CrashCause cause, boolean begins) {}

  private record BrokenAnswer(
      Collection<Suspect> suspects, long sentAtMillis, long brokenAtMillis) {}

  /**
   * Creates empty records.
   *
   * @param fleetSize returns the number of VMs, of which one is to send a trial
   * @param random decides which one
   */
  public CrashSuspicions(IntSupplier fleetSize, RandomGenerator random) {
    this.fleetSize = fleetSize;
    this.random = random;
  }

  private static <K, V> Map<K, V> boundedMap(int maxEntries) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
      }
    };
  }

  /**
   * Records that an upstream broke off the answer to a request before or soon after its beginning.
   *
   * @param suspects what the request contains
   * @param upstream identifies the run of the upstream
   * @param sentAtMillis when the request was sent
   * @param nowMillis the time
   */
  public void recordBrokenAnswer(
      Collection<Suspect> suspects, int upstream, long sentAtMillis, long nowMillis) {
    brokenAnswers
        .computeIfAbsent(upstream, key -> new ArrayList<>())
        .add(new BrokenAnswer(List.copyOf(suspects), sentAtMillis, nowMillis));
  }

  /** Records that an upstream still runs: the answers that it broke off were no crash. */
  public void recordUpstreamAlive(int upstream) {
    brokenAnswers.remove(upstream);
  }

  /** Returns whether the upstream has broken off answers of which its crash may be the cause. */
  public boolean hasBrokenAnswers(int upstream) {
    return brokenAnswers.containsKey(upstream);
  }

  /**
   * Records that an upstream is gone; one of the requests whose answers it recently broke off may
   * have crashed it.
   *
   * @return the reports of these requests, for the log
   */
  public List<CrashReport> recordUpstreamGone(int upstream, long nowMillis) {
    List<CrashReport> counted = new ArrayList<>();
    List<BrokenAnswer> broken = brokenAnswers.remove(upstream);
    if (broken == null) {
      return counted;
    }
    for (BrokenAnswer answer : broken) {
      if (nowMillis - answer.brokenAtMillis() < CONFIRM_MILLIS && !answer.suspects().isEmpty()) {
        recordReport(
                new CrashReport(
                    Set.copyOf(answer.suspects()),
                    upstream,
                    answer.sentAtMillis(),
                    answer.brokenAtMillis()),
                nowMillis)
            .ifPresent(counted::add);
      }
    }
    return counted;
  }

  /**
   * Records a crash that this or another VM has found.
   *
   * @param report the crash, with its times on this VM's clock
   * @param nowMillis the time
   * @return the report without the suspects that are known to be sound, empty if it is not news or
   *     none is left
   */
  public Optional<CrashReport> recordReport(CrashReport report, long nowMillis) {
    if (nowMillis - report.brokenAtMillis() >= CRASH_LIFETIME_MILLIS) {
      return Optional.empty();
    }
    Set<Suspect> suspects = new HashSet<>();
    for (Suspect suspect : report.suspects()) {
      Long answeredAt = answeredAtMillis.get(suspect);
      if (answeredAt == null || report.brokenAtMillis() - answeredAt >= SOUND_MILLIS) {
        suspects.add(suspect);
      } else {
        gossip.add(new Clearance(suspect, answeredAt));
      }
    }
    if (suspects.isEmpty() || isKnown(report.upstream(), suspects)) {
      return Optional.empty();
    }
    CrashReport counted =
        new CrashReport(
            suspects, report.upstream(), report.sentAtMillis(), report.brokenAtMillis());
    if (reports.size() == MAX_REPORTS) {
      removeLeastUseful();
    }
    reports.add(counted);
    gossip.add(counted);
    areCausesKnown = false;
    return Optional.of(counted);
  }

  /** Removes the oldest report that is no evidence for a quarantine, or else the oldest one. */
  private void removeLeastUseful() {
    reports.remove(
        reports.stream().filter(it -> !isEvidence(it)).findFirst().orElse(reports.getFirst()));
  }

  private boolean isKnown(int upstream, Set<Suspect> suspects) {
    return reports.stream()
        .anyMatch(it -> it.upstream() == upstream && it.suspects().containsAll(suspects));
  }

  /** Records that a request was answered completely, which clears all that it contains. */
  public void recordAnswer(Collection<Suspect> suspects, long nowMillis) {
    for (Suspect suspect : suspects) {
      recordClearance(new Clearance(suspect, nowMillis));
    }
  }

  /** Records that this or another VM has seen an answer to a request with the suspect. */
  public void recordClearance(Clearance clearance) {
    Suspect suspect = clearance.suspect();
    long answeredAt = clearance.answeredAtMillis();
    answeredAtMillis.merge(suspect, answeredAt, Math::max);
    boolean clears = false;
    for (int i = reports.size() - 1; i >= 0; i--) {
      CrashReport report = reports.get(i);
      if (report.suspects().contains(suspect)
          && report.brokenAtMillis() - answeredAt < SOUND_MILLIS) {
        clears = true;
        Set<Suspect> others = new HashSet<>(report.suspects());
        others.remove(suspect);
        reports.remove(i);
        if (!others.isEmpty()) {
          reports.add(
              i,
              new CrashReport(
                  others, report.upstream(), report.sentAtMillis(), report.brokenAtMillis()));
        }
      }
    }
    if (clears) {
      gossip.add(clearance);
      areCausesKnown = false;
    }
  }

  /** Returns whether nothing is suspected, so that contents of requests need not be hashed. */
  public boolean isEmpty() {
    return reports.isEmpty();
  }

  /**
   * Decides whether a request that contains the suspects may be sent. After a quarantine, about one
   * VM of the fleet sends one request as a trial: if it crashes an upstream, the quarantine begins
   * again on all VMs; if it is answered, the quarantine ends.
   */
  public Admission admit(Collection<Suspect> suspects, long nowMillis) {
    Admission admission = new Admission.Admitted();
    for (CrashCause cause : causes()) {
      if (!suspects.containsAll(cause.common())) {
        continue;
      }
      if (!isTrialDue(cause, nowMillis)) {
        return new Admission.HeldBack(cause);
      }
      trialAtMillis.put(cause.common(), nowMillis);
      admission = new Admission.Trial(cause);
    }
    return admission;
  }

  private boolean isTrialDue(CrashCause cause, long nowMillis) {
    Long trialAt = trialAtMillis.get(cause.common());
    return nowMillis - cause.lastCrashMillis() >= QUARANTINE_MILLIS
        && (trialAt == null || nowMillis - trialAt >= TRIAL_MILLIS)
        && random.nextInt(Math.max(1, fleetSize.getAsInt())) == 0;
  }

  /** Returns the quarantines that have begun or ended since the last call, for the log. */
  public List<Change> drainChanges() {
    causes();
    List<Change> drained = List.copyOf(changes);
    changes.clear();
    return drained;
  }

  /** Returns what this VM's next statement tells the other VMs. */
  public SuspicionStatement nextStatement(long nowMillis) {
    if (reports.removeIf(it -> nowMillis - it.brokenAtMillis() >= CRASH_LIFETIME_MILLIS)) {
      areCausesKnown = false;
    }
    return gossip.next(reports.stream().filter(this::isEvidence).toList());
  }

  private boolean isEvidence(CrashReport report) {
    return causes().stream().anyMatch(cause -> report.suspects().containsAll(cause.common()));
  }

  private List<CrashCause> causes() {
    if (!areCausesKnown) {
      List<CrashCause> before = causes;
      causes = CrashCauses.find(reports);
      areCausesKnown = true;
      recordChanges(causes, before, true);
      recordChanges(before, causes, false);
      trialAtMillis.keySet().removeIf(common -> !contains(causes, common));
    }
    return causes;
  }

  private void recordChanges(List<CrashCause> from, List<CrashCause> without, boolean begins) {
    for (CrashCause cause : from) {
      if (!contains(without, cause.common())) {
        changes.add(new Change(cause, begins));
      }
    }
  }

  private static boolean contains(List<CrashCause> causes, Set<Suspect> common) {
    return causes.stream().anyMatch(cause -> cause.common().equals(common));
  }
}
