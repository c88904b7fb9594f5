package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Records of requests that are suspected of crashing upstreams. Every VM keeps its own records; no
 * VM owns a request.
 *
 * <p>Protects against a request that crashes every upstream on which it begins to run, and that its
 * caller then sends again, to the same VM or another one. A request whose answer breaks off is
 * recorded; if its upstream is then found to be gone, the crash counts against the request and is
 * to be reported to the other VMs. A request with {@link #MAX_CRASHES} crashes is not sent for
 * {@link #QUARANTINE_MILLIS}.
 *
 * <p>Invariants: a crash counts once for a request; the suspected requests and the upstreams with
 * broken answers are at most {@link #MAX_REQUESTS} each, and the oldest are removed first. Confined
 * to one thread.
 */
public final class CrashSuspicions {
  /** Crashes after which a request is quarantined; a single one may be a coincidence. */
  private static final int MAX_CRASHES = 2;

  /**
   * Time after a broken answer within which an upstream must be found gone for its end to count as
   * a crash: three of its heartbeats and a margin.
   */
  private static final long CONFIRM_MILLIS = 5_000;

  /** How long a request is quarantined after its last crash. */
  private static final long QUARANTINE_MILLIS = 60_000;

  /** Maximum number of requests kept: those that run on a few large upstreams. */
  private static final int MAX_REQUESTS = 1_024;

  private final Map<Long, Suspect> suspects = boundedMap();
  private final Map<Integer, List<BrokenAnswer>> brokenAnswers = boundedMap();
  private final List<Crash> unreportedCrashes = new ArrayList<>();

  /**
   * Crash of an upstream while it ran a request.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param fingerprint the hash of the request's content, computed by the caller
   * @param upstream identifies the run of the upstream that crashed
   */
  public record Crash(long fingerprint, int upstream) {
    @Override
    public String toString() {
      return "%016x at %08x".formatted(fingerprint, upstream);
    }
  }

  private record BrokenAnswer(long fingerprint, long atMillis) {}

  private static final class Suspect {
    private final Map<Integer, Long> crashes = new HashMap<>();
    private long lastCrashMillis;
  }

  private static <K, V> Map<K, V> boundedMap() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_REQUESTS;
      }
    };
  }

  /** Records that the upstream broke off an answer. */
  public void recordBrokenAnswer(long fingerprint, int upstream, long nowMillis) {
    brokenAnswers
        .computeIfAbsent(upstream, key -> new ArrayList<>())
        .add(new BrokenAnswer(fingerprint, nowMillis));
  }

  /**
   * Records that the upstream is gone; the requests whose answers it recently broke off may have
   * crashed it.
   *
   * @return the crashes that count against these requests
   */
  public List<Crash> recordUpstreamGone(int upstream, long nowMillis) {
    List<BrokenAnswer> candidates = brokenAnswers.remove(upstream);
    if (candidates == null) {
      return List.of();
    }
    List<Crash> counted = new ArrayList<>();
    for (BrokenAnswer request : candidates) {
      Crash crash = new Crash(request.fingerprint(), upstream);
      if (nowMillis - request.atMillis() < CONFIRM_MILLIS && addCrash(crash, nowMillis)) {
        counted.add(crash);
      }
    }
    unreportedCrashes.addAll(counted);
    return counted;
  }

  /** Records a crash that another VM reported; returns whether it was not known. */
  public boolean recordReportedCrash(Crash crash, long nowMillis) {
    return addCrash(crash, nowMillis);
  }

  /** Returns whether there is no suspected request, so that requests need not be hashed. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns whether the request is quarantined and must not be sent. */
  public boolean isQuarantined(long fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    return suspect != null
        && suspect.crashes.size() >= MAX_CRASHES
        && nowMillis - suspect.lastCrashMillis < QUARANTINE_MILLIS;
  }

  /** Returns the crashes found since the last call, for reporting to other VMs. */
  public List<Crash> drainNewCrashes() {
    List<Crash> drained = List.copyOf(unreportedCrashes);
    unreportedCrashes.clear();
    return drained;
  }

  private boolean addCrash(Crash crash, long nowMillis) {
    Suspect suspect = suspects.computeIfAbsent(crash.fingerprint(), key -> new Suspect());
    suspect.crashes.values().removeIf(at -> nowMillis - at >= QUARANTINE_MILLIS);
    boolean added = suspect.crashes.putIfAbsent(crash.upstream(), nowMillis) == null;
    if (added) {
      suspect.lastCrashMillis = nowMillis;
    }
    return added;
  }
}
