package org.ragworttide.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which engines are believed to hold which prompt parts in memory.
 *
 * <p>Answers the pattern in which a session was moved by a full, crashed or leaving engine:
 * placement by hash alone would send it back to an engine that no longer holds its prompt. A VM
 * learns from its own requests and from what other VMs tell; a belief that is wrong costs a second
 * reading, no more.
 *
 * <p>Invariants: at most {@link #MAX_PARTS} parts are kept, those used last; a belief ends after
 * {@link #LIFETIME_MILLIS}. Confined to one thread.
 */
public final class PromptIndex {
  /** Parts kept: the sessions that a VM sees in a minute at the target size, several times over. */
  private static final int MAX_PARTS = 16_384;

  /** Milliseconds for which an unused belief counts: most sessions return within a minute. */
  private static final long LIFETIME_MILLIS = 60_000;

  /** Holdings that may wait to be told: a few statements' worth. */
  private static final int MAX_NEWS = 256;

  private final Map<Integer, Map<Integer, Long>> holders =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Map<Integer, Long>> eldest) {
          return size() > MAX_PARTS;
        }
      };

  private final List<Holding> news = new ArrayList<>();

  /**
   * A part that an engine has read.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param part the part's key, see {@link #key}
   * @param engine the engine's key, see {@link UpstreamLoad#key}
   */
  public record Holding(int part, int engine) {}

  /** Returns the key of a part, given the hash of its id. */
  public static int key(long idHash) {
    return PeerLoads.key(idHash);
  }

  /** Notes that an engine is sent a prompt of this VM, whose shared parts it holds from now on. */
  public void sent(Prompt prompt, UpstreamLoad engine, long nowMillis) {
    for (PromptPart part : prompt.sharedParts()) {
      Holding holding = new Holding(key(part.idHash()), engine.key());
      if (put(holding, nowMillis) && news.size() < MAX_NEWS) {
        news.add(holding);
      }
    }
  }

  /** Takes what another VM tells. */
  public void heard(Holding holding, long nowMillis) {
    put(holding, nowMillis);
  }

  /** Forgets what the engine held, which has lost its memory or is gone. */
  public void forget(int engine) {
    holders.values().forEach(known -> known.remove(engine));
  }

  /** Tells whether the engine holds the part. */
  public boolean holds(PromptPart part, UpstreamLoad engine, long nowMillis) {
    Long usedAt = holders.getOrDefault(key(part.idHash()), Map.of()).get(engine.key());
    return usedAt != null && nowMillis - usedAt < LIFETIME_MILLIS;
  }

  /** Returns what this VM has learned since the last call, to be told to other VMs. */
  public List<Holding> takeNews() {
    List<Holding> taken = List.copyOf(news);
    news.clear();
    return taken;
  }

  private boolean put(Holding holding, long nowMillis) {
    Long before =
        holders
            .computeIfAbsent(holding.part(), part -> new HashMap<>())
            .put(holding.engine(), nowMillis);
    return before == null || nowMillis - before >= LIFETIME_MILLIS;
  }
}
