package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.Fingerprint;

/**
 * Remembers which requests ran on upstreams that died.
 *
 * <p>Invariants: a death counts once for a request; a record is forgotten after {@link
 * #RETENTION_MILLIS} and at most {@link #MAX_DEATHS} deaths are kept, the oldest leaving first. Not
 * safe for use by several threads.
 */
final class DeathRecords {
  static final int MAX_DEATHS = 512;
  static final int MAX_FINGERPRINTS_A_DEATH = 64;
  static final int RETENTION_MILLIS = 600_000;
  static final int SHARING_MILLIS = 60_000;

  private final LinkedHashMap<Long, Death> deaths = new LinkedHashMap<>();
  private final Map<Fingerprint, Integer> counts = new HashMap<>();

  /** Records requests of a death; returns those that were not recorded for it before. */
  List<Fingerprint> add(long id, List<Fingerprint> running, long diedMillis, long nowMillis) {
    forgetOld(nowMillis);
    if (nowMillis - diedMillis >= RETENTION_MILLIS) {
      return List.of();
    }
    Death death = deaths.computeIfAbsent(id, key -> new Death(diedMillis, new ArrayList<>(2)));
    List<Fingerprint> added = new ArrayList<>();
    for (Fingerprint fingerprint : running) {
      boolean room = death.fingerprints.size() < MAX_FINGERPRINTS_A_DEATH;
      if (room && !death.fingerprints.contains(fingerprint)) {
        death.fingerprints.add(fingerprint);
        counts.merge(fingerprint, 1, Integer::sum);
        added.add(fingerprint);
      }
    }
    return added;
  }

  int count(Fingerprint fingerprint, long nowMillis) {
    forgetOld(nowMillis);
    return counts.getOrDefault(fingerprint, 0);
  }

  /** Returns when all records of a request will be forgotten, from now. */
  long remainingMillis(Fingerprint fingerprint, long nowMillis) {
    return deaths.values().stream()
        .filter(death -> death.fingerprints.contains(fingerprint))
        .mapToLong(death -> death.diedMillis + RETENTION_MILLIS - nowMillis)
        .max()
        .orElse(0);
  }

  int size() {
    return counts.size();
  }

  /** Returns a hash that is the same for the same deaths of the sharing time in any order. */
  long hash(long nowMillis) {
    forgetOld(nowMillis);
    long hash = 0;
    for (Map.Entry<Long, Death> death : deaths.entrySet()) {
      if (death.getValue().isYoungerThan(SHARING_MILLIS, nowMillis)) {
        for (Fingerprint fingerprint : death.getValue().fingerprints) {
          hash += mix(death.getKey() ^ fingerprint.high()) ^ fingerprint.low();
        }
      }
    }
    return hash;
  }

  /** Returns the latest deaths that are younger than the given age. */
  Map<Long, Death> latest(int max, long ageMillis, long nowMillis) {
    Map<Long, Death> latest = new LinkedHashMap<>();
    deaths.sequencedEntrySet().reversed().stream()
        .filter(entry -> entry.getValue().isYoungerThan(ageMillis, nowMillis))
        .limit(max)
        .forEach(entry -> latest.put(entry.getKey(), entry.getValue()));
    return latest;
  }

  private void forgetOld(long nowMillis) {
    while (!deaths.isEmpty()
        && (deaths.size() > MAX_DEATHS
            || nowMillis - deaths.firstEntry().getValue().diedMillis >= RETENTION_MILLIS)) {
      Death old = deaths.pollFirstEntry().getValue();
      old.fingerprints.forEach(
          fingerprint -> counts.computeIfPresent(fingerprint, (k, n) -> n > 1 ? n - 1 : null));
    }
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    return mixed ^ (mixed >>> 29);
  }

  /**
   * One death of an upstream.
   *
   * @param diedMillis when it died, by this VM's clock
   * @param fingerprints what ran on it
   */
  record Death(long diedMillis, List<Fingerprint> fingerprints) {

    boolean isYoungerThan(long ageMillis, long nowMillis) {
      return nowMillis - diedMillis < ageMillis;
    }
  }
}
