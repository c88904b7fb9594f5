package org.ragworttide.coordination.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that are suspected of crashing the upstreams that run them, without an owner for each.
 *
 * <p>Answers the pattern in which one request crashes each upstream that begins to run it, and its
 * caller sends it again to any VM. A request whose answer breaks off is noted; if its upstream then
 * turns out to be gone, the crash counts against the request, and the other VMs are told. A request
 * with {@link #MAX_CRASHES} crashes is not sent any more for {@link #QUARANTINE_MILLIS}.
 *
 * <p>Invariants: a crash counts once for a request; at most {@link #MAX_REQUESTS} requests are
 * kept, the oldest leaving first. Confined to one thread.
 */
public final class CrashSuspicions {
  /** Crashes after which a request is held back: one may be a coincidence. */
  private static final int MAX_CRASHES = 2;

  /** Milliseconds within which an upstream must be missed: three of its heartbeats and a margin. */
  private static final long CONFIRM_MILLIS = 5_000;

  /** Milliseconds after its last crash for which a request is held back. */
  private static final long QUARANTINE_MILLIS = 60_000;

  /** Requests kept: what runs on a few large upstreams. */
  private static final int MAX_REQUESTS = 1_024;

  private final Map<Long, Suspect> suspects = bounded();
  private final Map<Integer, List<Broken>> broken = bounded();
  private final List<Crash> news = new ArrayList<>();

  /**
   * A crash of an upstream while it ran a request.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param fingerprint the request's content, see the caller's hash
   * @param upstream the run of the upstream that crashed
   */
  public record Crash(long fingerprint, int upstream) {}

  private record Broken(long fingerprint, long atMillis) {}

  private static final class Suspect {
    private final Map<Integer, Long> crashes = new HashMap<>();
    private long lastMillis;
  }

  private static <K, V> Map<K, V> bounded() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_REQUESTS;
      }
    };
  }

  /** Notes that an answer broke off, from the upstream's side. */
  public void brokenOff(long fingerprint, int upstream, long nowMillis) {
    broken
        .computeIfAbsent(upstream, key -> new ArrayList<>())
        .add(new Broken(fingerprint, nowMillis));
  }

  /** Notes that the upstream is gone: what broke off there lately may have crashed it. */
  public void gone(int upstream, long nowMillis) {
    List<Broken> ended = broken.remove(upstream);
    if (ended == null) {
      return;
    }
    for (Broken request : ended) {
      Crash crash = new Crash(request.fingerprint(), upstream);
      if (nowMillis - request.atMillis() < CONFIRM_MILLIS && count(crash, nowMillis)) {
        news.add(crash);
      }
    }
  }

  /** Takes a crash that another VM tells. */
  public void heard(Crash crash, long nowMillis) {
    count(crash, nowMillis);
  }

  /** Tells whether there is any suspect, so that requests need not be hashed without need. */
  public boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Tells whether the request must not be sent. */
  public boolean isHeldBack(long fingerprint, long nowMillis) {
    Suspect suspect = suspects.get(fingerprint);
    return suspect != null
        && suspect.crashes.size() >= MAX_CRASHES
        && nowMillis - suspect.lastMillis < QUARANTINE_MILLIS;
  }

  /** Returns the crashes found since the last call, to be told to other VMs. */
  public List<Crash> takeNews() {
    List<Crash> taken = List.copyOf(news);
    news.clear();
    return taken;
  }

  private boolean count(Crash crash, long nowMillis) {
    Suspect suspect = suspects.computeIfAbsent(crash.fingerprint(), key -> new Suspect());
    suspect.crashes.values().removeIf(at -> nowMillis - at >= QUARANTINE_MILLIS);
    boolean added = suspect.crashes.putIfAbsent(crash.upstream(), nowMillis) == null;
    if (added) {
      suspect.lastMillis = nowMillis;
    }
    return added;
  }
}
