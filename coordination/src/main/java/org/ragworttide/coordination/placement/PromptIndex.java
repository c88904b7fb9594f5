package org.ragworttide.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Index of the prompt parts that each engine probably holds in its cache.
 *
 * <p>Handles sessions that moved away from a full, crashed or leaving engine: placement by hash
 * alone would send them back to an engine that no longer holds their prompt. Entries come from this
 * VM's own requests and from the statements of other VMs. A wrong entry costs one more prefill and
 * nothing else.
 *
 * <p>Invariants: the index keeps at most {@link #MAX_PARTS} parts, those most recently used; an
 * entry expires {@link #LIFETIME_MILLIS} after its last use. Confined to one thread.
 */
public final class PromptIndex {
  /**
   * Maximum number of parts: several times the sessions that a VM sees in a minute at the target
   * fleet size.
   */
  private static final int MAX_PARTS = 16_384;

  /** Milliseconds after which an unused entry expires: most sessions return within a minute. */
  private static final long LIFETIME_MILLIS = 60_000;

  /** Maximum number of holdings that wait to be sent to other VMs: enough for a few statements. */
  private static final int MAX_PENDING_HOLDINGS = 256;

  private final Map<Integer, Map<Integer, Long>> holders =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Map<Integer, Long>> eldest) {
          return size() > MAX_PARTS;
        }
      };

  private final List<Holding> pendingHoldings = new ArrayList<>();

  /**
   * Prompt part that an engine holds in its cache.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param part the part's key, see {@link #key}
   * @param engine the engine's key, see {@link UpstreamLoad#key}
   */
  public record Holding(int part, int engine) {}

  /** Returns the key that identifies a part in statements, given the hash of its id. */
  public static int key(long idHash) {
    return PeerLoads.key(idHash);
  }

  /**
   * Records that this VM sends a prompt to an engine, which holds its shared parts from then on.
   */
  public void recordSentPrompt(Prompt prompt, UpstreamLoad engine, long nowMillis) {
    for (PromptPart part : prompt.sharedParts()) {
      Holding holding = new Holding(key(part.idHash()), engine.key());
      if (put(holding, nowMillis) && pendingHoldings.size() < MAX_PENDING_HOLDINGS) {
        pendingHoldings.add(holding);
      }
    }
  }

  /** Records a holding that another VM states. */
  public void recordPeerHolding(Holding holding, long nowMillis) {
    put(holding, nowMillis);
  }

  /** Removes all entries of an engine that has lost its cache or is gone. */
  public void removeEngine(int engine) {
    holders.values().forEach(enginesOfPart -> enginesOfPart.remove(engine));
  }

  /** Returns whether the engine probably holds the part. */
  public boolean holds(PromptPart part, UpstreamLoad engine, long nowMillis) {
    Long usedAtMillis = holders.getOrDefault(key(part.idHash()), Map.of()).get(engine.key());
    return usedAtMillis != null && nowMillis - usedAtMillis < LIFETIME_MILLIS;
  }

  /** Returns the keys of the engines that probably hold the part. */
  Set<Integer> holders(PromptPart part, long nowMillis) {
    Set<Integer> engines = new HashSet<>();
    holders
        .getOrDefault(key(part.idHash()), Map.of())
        .forEach(
            (engine, usedAtMillis) -> {
              if (nowMillis - usedAtMillis < LIFETIME_MILLIS) {
                engines.add(engine);
              }
            });
    return engines;
  }

  /** Returns and clears the new holdings of this VM, to be sent to other VMs. */
  public List<Holding> drainNewHoldings() {
    List<Holding> drained = List.copyOf(pendingHoldings);
    pendingHoldings.clear();
    return drained;
  }

  private boolean put(Holding holding, long nowMillis) {
    Long lastUsedAtMillis =
        holders
            .computeIfAbsent(holding.part(), part -> new HashMap<>())
            .put(holding.engine(), nowMillis);
    return lastUsedAtMillis == null || nowMillis - lastUsedAtMillis >= LIFETIME_MILLIS;
  }
}
