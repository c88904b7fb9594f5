package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.Fingerprint;

/**
 * Records of the requests that were running on upstreams when the upstreams died.
 *
 * <p>Invariants: a death counts once for a request; deaths older than {@link #RETENTION_MILLIS} or
 * in excess of {@link #MAX_DEATHS} are removed at the next access, those recorded first before the
 * others. Not safe for use by several threads.
 */
final class DeathRecords {
  static final int MAX_DEATHS = 512;
  static final int MAX_FINGERPRINTS_PER_DEATH = 64;
  static final int RETENTION_MILLIS = 600_000;
  static final int SHARED_AGE_MILLIS = 60_000;

  private final LinkedHashMap<Long, Death> deaths = new LinkedHashMap<>();
  private final Map<Fingerprint, Integer> counts = new HashMap<>();

  /** Records requests for a death; returns those that were not yet recorded for it. */
  List<Fingerprint> add(long id, List<Fingerprint> running, long diedMillis, long nowMillis) {
    removeExpired(nowMillis);
    if (nowMillis - diedMillis >= RETENTION_MILLIS) {
      return List.of();
    }
    Death death = deaths.computeIfAbsent(id, key -> new Death(diedMillis, new ArrayList<>(2)));
    List<Fingerprint> added = new ArrayList<>();
    for (Fingerprint fingerprint : running) {
      boolean hasCapacity = death.fingerprints.size() < MAX_FINGERPRINTS_PER_DEATH;
      if (hasCapacity && !death.fingerprints.contains(fingerprint)) {
        death.fingerprints.add(fingerprint);
        counts.merge(fingerprint, 1, Integer::sum);
        added.add(fingerprint);
      }
    }
    return added;
  }

  int count(Fingerprint fingerprint, long nowMillis) {
    removeExpired(nowMillis);
    return counts.getOrDefault(fingerprint, 0);
  }

  /** Returns the time until the last record of a request expires. */
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

  /** Returns an order-independent hash of the deaths younger than {@link #SHARED_AGE_MILLIS}. */
  long hash(long nowMillis) {
    removeExpired(nowMillis);
    long hash = 0;
    for (Map.Entry<Long, Death> death : deaths.entrySet()) {
      if (death.getValue().isYoungerThan(SHARED_AGE_MILLIS, nowMillis)) {
        for (Fingerprint fingerprint : death.getValue().fingerprints) {
          hash += mix(death.getKey() ^ fingerprint.high()) ^ fingerprint.low();
        }
      }
    }
    return hash;
  }

  /** Returns the latest deaths, at most the given number, that are younger than the given age. */
  Map<Long, Death> latest(int max, long ageMillis, long nowMillis) {
    Map<Long, Death> latest = new LinkedHashMap<>();
    deaths.sequencedEntrySet().reversed().stream()
        .filter(entry -> entry.getValue().isYoungerThan(ageMillis, nowMillis))
        .limit(max)
        .forEach(entry -> latest.put(entry.getKey(), entry.getValue()));
    return latest;
  }

  private void removeExpired(long nowMillis) {
    while (!deaths.isEmpty()
        && (deaths.size() > MAX_DEATHS
            || nowMillis - deaths.firstEntry().getValue().diedMillis >= RETENTION_MILLIS)) {
      Death expired = deaths.pollFirstEntry().getValue();
      expired.fingerprints.forEach(
          fingerprint -> counts.computeIfPresent(fingerprint, (k, n) -> n > 1 ? n - 1 : null));
    }
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    return mixed ^ (mixed >>> 29);
  }

  /**
   * Death of an upstream.
   *
   * @param diedMillis the time of death by this VM's clock
   * @param fingerprints the requests that were running on it
   */
  record Death(long diedMillis, List<Fingerprint> fingerprints) {

    boolean isYoungerThan(long ageMillis, long nowMillis) {
      return nowMillis - diedMillis < ageMillis;
    }
  }
}
