package org.ragworttide.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Places requests on model engines so that shared prompt parts are read on few of them.
 *
 * <p>Answers these patterns: many sessions over a few long first parts, where placement by session
 * alone reads each first part on every engine; a hot session, which must not fill its engine; and
 * engines that crash, leave or return without what they held. The first part names a group of
 * engines by rendezvous hashing, the longer it is the fewer; the part of the session names the
 * engine in the group. A session known to be in an engine's memory goes there instead, or to its
 * second engine, in another availability zone, which fetches the prompt once: the two share its
 * load, spare bytes between zones and survive each other's loss. An engine above the load bound is
 * passed over for the next in the same order, so that all VMs spill to the same engines.
 *
 * <p>Invariant: the chosen engine is a candidate and, if any candidate is within the bound, is
 * within it itself. Confined to one thread.
 */
public final class EnginePlacement {
  /** Engines for a first part at least: room for its sessions without reading it everywhere. */
  private static final int SMALLEST_GROUP = 3;

  /** Tokens of a first part that may be read on every engine: tens of milliseconds of work. */
  private static final double CHEAP_TOKENS = 1_000;

  /** What an engine may hold for a request whose prompt is long to read elsewhere. */
  private static final LoadBound FIRM_BOUND = new LoadBound(1.8, 3);

  /** The same for a short prompt: such requests make room for the others first. */
  private static final LoadBound EVEN_BOUND = new LoadBound(1.3, 1);

  /** Requests that a choice in another zone must save: a body between zones costs as much. */
  private static final int OTHER_ZONE_REQUESTS = 2;

  /** The same if it has to fetch the prompt first: its memory is priced like many bodies. */
  private static final int FETCH_REQUESTS = 8;

  /** The same for the engine that the hash of the session names: a restarted VM looks there. */
  private static final int HOME_FETCH_REQUESTS = 3;

  /** Milliseconds between the starts of engines that may have started together. */
  private static final long JOINED_TOGETHER_MILLIS = 10_000;

  /** Engines that share a session's load while none of them is full. */
  private static final int SHARING_ENGINES = 2;

  private final ZoneId ownZone;
  private final PromptIndex index;

  /**
   * Creates the placement of a VM.
   *
   * @param ownZone the VM's availability zone
   * @param index which engines hold which parts
   */
  public EnginePlacement(ZoneId ownZone, PromptIndex index) {
    this.ownZone = ownZone;
    this.index = index;
  }

  /**
   * Chooses an engine.
   *
   * @param prompt the request's prompt
   * @param candidates engines that may take the request
   * @param fetches whether an engine can fetch a prompt from another
   * @param nowMillis the time
   * @return the engine, empty if there is no candidate that admits the request
   */
  public Optional<UpstreamLoad> choose(
      Prompt prompt, List<UpstreamLoad> candidates, boolean fetches, long nowMillis) {
    List<UpstreamLoad> open = Warmth.admitting(candidates, nowMillis);
    if (open.isEmpty()) {
      return Optional.empty();
    }
    if (prompt.parts().isEmpty()) {
      return leastLoaded(open, nowMillis);
    }
    List<UpstreamLoad> order = order(prompt, open);
    LoadBound bound = prompt.sharedTokens() < CHEAP_TOKENS ? EVEN_BOUND : FIRM_BOUND;
    double most = bound.requests(open, nowMillis);
    return sharing(prompt, order, fetches, nowMillis).stream()
        .filter(engine -> engine.estimate(nowMillis) + 1 <= most)
        .min(Comparator.comparingInt(engine -> cost(prompt, engine, order.getFirst(), nowMillis)))
        .or(() -> within(order, most, nowMillis))
        .or(() -> leastLoaded(open, nowMillis));
  }

  /** Returns the engines that hold the session's prompt and those that may fetch it. */
  private List<UpstreamLoad> sharing(
      Prompt prompt, List<UpstreamLoad> order, boolean fetches, long nowMillis) {
    List<UpstreamLoad> sharing = new ArrayList<>();
    for (UpstreamLoad engine : order) {
      if (index.holds(prompt.affinityPart(), engine, nowMillis)) {
        sharing.add(engine);
      }
    }
    if (sharing.isEmpty() || !fetches) {
      return sharing;
    }
    if (sharing.size() < SHARING_ENGINES) {
      secondOf(sharing.getFirst(), order).ifPresent(sharing::add);
    }
    if (!sharing.contains(order.getFirst())) {
      sharing.addFirst(order.getFirst());
    }
    return sharing;
  }

  private int cost(Prompt prompt, UpstreamLoad engine, UpstreamLoad home, long nowMillis) {
    int cost = engine.estimate(nowMillis);
    if (!engine.zone().equals(ownZone)) {
      cost += OTHER_ZONE_REQUESTS;
    }
    if (index.holds(prompt.affinityPart(), engine, nowMillis)) {
      return cost;
    }
    return cost + (engine == home ? HOME_FETCH_REQUESTS : FETCH_REQUESTS);
  }

  /** Returns the first engine in another zone than the holder's or, if there is none, the next. */
  private static Optional<UpstreamLoad> secondOf(UpstreamLoad holder, List<UpstreamLoad> order) {
    return order.stream()
        .filter(engine -> !engine.zone().equals(holder.zone()))
        .findFirst()
        .or(() -> order.stream().filter(engine -> engine != holder).findFirst());
  }

  /**
   * Returns the engine from which the chosen one can fetch a session's prompt instead of reading it
   * again, empty if none is likelier to hold it.
   *
   * <p>Answers the pattern of spills, replacements and evacuations. What is known to be held goes
   * first, the whole prompt or its first part. Else, as all VMs place alike, the prompt is where it
   * would be placed among all engines that are still there, those that leave or are taken out
   * included, or was placed before the chosen engine started.
   *
   * @param prompt the request's prompt
   * @param chosen the engine that takes the request
   * @param present all engines of the service that answer
   * @param nowMillis the time
   */
  public Optional<UpstreamLoad> holder(
      Prompt prompt, UpstreamLoad chosen, List<UpstreamLoad> present, long nowMillis) {
    if (prompt.parts().isEmpty() || index.holds(prompt.affinityPart(), chosen, nowMillis)) {
      return Optional.empty();
    }
    List<UpstreamLoad> order = order(prompt, present);
    return holding(prompt.affinityPart(), chosen, present, nowMillis)
        .or(() -> order.stream().findFirst().filter(engine -> engine != chosen))
        .or(() -> missing(prompt.parts().getFirst(), chosen, present, nowMillis))
        .or(() -> order.stream().filter(engine -> isOlder(engine, chosen)).findFirst())
        .or(() -> order.stream().filter(engine -> engine != chosen).findFirst());
  }

  private static boolean isOlder(UpstreamLoad engine, UpstreamLoad chosen) {
    return engine.bornMillis() + JOINED_TOGETHER_MILLIS < chosen.bornMillis();
  }

  private Optional<UpstreamLoad> missing(
      PromptPart part, UpstreamLoad chosen, List<UpstreamLoad> present, long nowMillis) {
    return index.holds(part, chosen, nowMillis)
        ? Optional.empty()
        : holding(part, chosen, present, nowMillis);
  }

  private Optional<UpstreamLoad> holding(
      PromptPart part, UpstreamLoad chosen, List<UpstreamLoad> present, long nowMillis) {
    return present.stream()
        .filter(engine -> engine != chosen && index.holds(part, engine, nowMillis))
        .min(Comparator.comparingInt(engine -> engine.estimate(nowMillis)));
  }

  /** Returns the engines in the session's order, those of its first part's group first. */
  private static List<UpstreamLoad> order(Prompt prompt, List<UpstreamLoad> engines) {
    PromptPart first = prompt.parts().getFirst();
    long session = prompt.affinityPart().idHash();
    List<UpstreamLoad> all = byWeight(engines, first.idHash());
    int group = groupSize(first, all.size());
    List<UpstreamLoad> order = new ArrayList<>(byWeight(all.subList(0, group), session));
    order.addAll(byWeight(all.subList(group, all.size()), session));
    return order;
  }

  private static int groupSize(PromptPart first, int engines) {
    double wanted = engines * Math.min(1, CHEAP_TOKENS / Math.max(1, first.tokens()));
    int group = SMALLEST_GROUP;
    while (group < wanted) {
      group *= 2;
    }
    return Math.min(group, engines);
  }

  private static Optional<UpstreamLoad> within(
      List<UpstreamLoad> order, double bound, long nowMillis) {
    for (UpstreamLoad engine : order) {
      if (engine.estimate(nowMillis) + 1 <= bound) {
        return Optional.of(engine);
      }
    }
    return Optional.empty();
  }

  private static Optional<UpstreamLoad> leastLoaded(List<UpstreamLoad> open, long nowMillis) {
    return open.stream().min(Comparator.comparingInt(engine -> engine.estimate(nowMillis)));
  }

  private static List<UpstreamLoad> byWeight(List<UpstreamLoad> engines, long keyHash) {
    return engines.stream()
        .sorted(Comparator.comparingLong((UpstreamLoad it) -> it.weight(keyHash)).reversed())
        .toList();
  }
}
