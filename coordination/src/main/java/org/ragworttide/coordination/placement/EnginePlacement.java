package org.ragworttide.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Places requests on model engines so that only a few engines prefill each shared prompt part.
 *
 * <p>Handles these cases: many sessions that share a few long first parts, where placement by
 * session alone would prefill each first part on every engine; a hot session, which must not
 * overload its engine; and engines that crash, leave or return with an empty cache. Rendezvous
 * hashing of the first part selects a group of engines, which is smaller the longer the part is;
 * the hash of the session's part selects the engine in the group. A session whose prompt an engine
 * is known to hold goes to that engine instead, or to a second engine in another availability zone,
 * which fetches the prompt once: the two share the session's load, save traffic between zones, and
 * each keeps the prompt if the other is lost. An engine above the load bound is skipped for the
 * next one in the same order, so that all VMs spill to the same engines. In a large fleet, whose
 * VMs learn of each other's requests late, they would all fill the next engine in that time; there,
 * the sessions of an engine that was overloaded lately are shared by the first engines of their
 * order, as many as their requests need.
 *
 * <p>Invariant: the chosen engine is a candidate, and it is within the load bound if any candidate
 * is. Confined to one thread.
 */
public final class EnginePlacement {
  /**
   * Minimum engines per first part: enough for its sessions without prefilling it on every engine.
   */
  private static final int MIN_GROUP_ENGINES = 3;

  /**
   * Number of tokens that every engine may prefill, because this takes only tens of milliseconds.
   */
  private static final double CHEAP_PREFILL_TOKENS = 1_000;

  /** Load bound of an engine for a request whose prompt takes long to prefill on another engine. */
  private static final LoadBound LONG_PROMPT_BOUND = new LoadBound(1.8, 3);

  /**
   * Load bound of an engine for a request with a short prompt, which moves to another engine before
   * a request with a long one.
   */
  private static final LoadBound SHORT_PROMPT_BOUND = new LoadBound(1.3, 1);

  /**
   * Penalty of an engine in another zone, in requests: about the cost of sending a body between
   * zones.
   */
  private static final int CROSS_ZONE_PENALTY_REQUESTS = 2;

  /**
   * Penalty of an engine that has to fetch the prompt first, in requests: a cached prompt is as
   * expensive to transfer as many request bodies.
   */
  private static final int FETCH_PENALTY_REQUESTS = 8;

  /**
   * Fetch penalty of the engine that the session's hash selects, in requests; it is lower because a
   * restarted VM sends the session to that engine.
   */
  private static final int HOME_FETCH_PENALTY_REQUESTS = 3;

  /** Maximum difference between the starts of engines that count as started together. */
  private static final long SIMULTANEOUS_START_MILLIS = 10_000;

  /** Number of engines that share a session's load while none of them is full. */
  private static final int ENGINES_PER_SESSION = 2;

  /** Part of the load bound above which a session's first engine shares its requests. */
  private static final double BUSY_LOAD = 0.75;

  /** Part of the load bound up to which engines are filled that share a session's requests. */
  private static final double SPREAD_LOAD = 0.5;

  /** Multiple of the mean peak up to which engines that share requests count as evenly loaded. */
  private static final double EVEN_LOAD = 1.5;

  private static final Comparator<Weighted> HEAVIEST_FIRST =
      Comparator.comparingLong(Weighted::weight).reversed();

  private final ZoneId ownZone;
  private final PromptIndex index;
  private final RandomGenerator random;

  /**
   * Creates the placement of a VM.
   *
   * @param ownZone the VM's availability zone
   * @param index the prompt parts that each engine holds
   * @param random chooses between engines that share the requests of a session
   */
  public EnginePlacement(ZoneId ownZone, PromptIndex index, RandomGenerator random) {
    this.ownZone = ownZone;
    this.index = index;
    this.random = random;
  }

  /**
   * Chooses an engine.
   *
   * @param prompt the request's prompt
   * @param candidates engines that may serve the request
   * @param present all engines of the service, of whose requests the load bound is a multiple
   * @param canFetch whether an engine can fetch a prompt from another
   * @param nowMillis the time
   * @return the engine, or empty if no candidate admits the request
   */
  public Optional<UpstreamLoad> choose(
      Prompt prompt,
      List<UpstreamLoad> candidates,
      List<UpstreamLoad> present,
      boolean canFetch,
      long nowMillis) {
    List<UpstreamLoad> open = AdmissionFilter.admitting(candidates, nowMillis);
    if (open.isEmpty()) {
      return Optional.empty();
    }
    if (prompt.parts().isEmpty()) {
      return leastLoaded(open, nowMillis);
    }
    List<UpstreamLoad> order = order(prompt, open);
    LoadBound bound =
        prompt.sharedTokens() < CHEAP_PREFILL_TOKENS ? SHORT_PROMPT_BOUND : LONG_PROMPT_BOUND;
    double maxRequests = bound.maxRequests(present, nowMillis);
    int spread = spread(order, maxRequests, nowMillis);
    if (spread > 1) {
      return spreadOver(order, spread, maxRequests, nowMillis)
          .or(() -> leastLoaded(open, nowMillis));
    }
    return sessionEngines(prompt, order, canFetch, nowMillis).stream()
        .filter(engine -> engine.estimatedRequests(nowMillis) + 1 <= maxRequests)
        .min(Comparator.comparingInt(engine -> cost(prompt, engine, order.getFirst(), nowMillis)))
        .or(() -> firstWithinBound(order, maxRequests, nowMillis))
        .or(() -> leastLoaded(open, nowMillis));
  }

  /**
   * Returns the number of engines that share a session's requests because its first engine was
   * overloaded lately. Where the loads of most VMs are known, an overload is seen at once and one
   * engine after the other is used.
   */
  private static int spread(List<UpstreamLoad> order, double maxRequests, long nowMillis) {
    UpstreamLoad home = order.getFirst();
    if (!home.isSampled()) {
      return 1;
    }
    double even = meanPeak(order, nowMillis) * EVEN_LOAD;
    if (home.peakRequests(nowMillis) <= Math.max(maxRequests * BUSY_LOAD, even)) {
      return 1;
    }
    double fill = Math.max(maxRequests * SPREAD_LOAD, even);
    double peaks = 0;
    int spread = 0;
    do {
      peaks += order.get(spread).peakRequests(nowMillis);
      spread++;
    } while (peaks > spread * fill && spread < order.size());
    return spread;
  }

  private static double meanPeak(List<UpstreamLoad> engines, long nowMillis) {
    double sum = 0;
    for (UpstreamLoad engine : engines) {
      sum += engine.peakRequests(nowMillis);
    }
    return sum / engines.size();
  }

  /**
   * Chooses at random from the first engines in the order, in proportion to their room. VMs that
   * learn late of each other's requests would fill one engine after the other if all chose the one
   * with the most room.
   */
  private Optional<UpstreamLoad> spreadOver(
      List<UpstreamLoad> order, int spread, double maxRequests, long nowMillis) {
    for (int count = spread; count < 2 * order.size(); count *= 2) {
      List<UpstreamLoad> engines = order.subList(0, Math.min(count, order.size()));
      double room = 0;
      for (UpstreamLoad engine : engines) {
        room += room(engine, maxRequests, nowMillis);
      }
      double drawn = random.nextDouble() * room;
      for (UpstreamLoad engine : engines) {
        drawn -= room(engine, maxRequests, nowMillis);
        if (drawn < 0) {
          return Optional.of(engine);
        }
      }
    }
    return Optional.empty();
  }

  private static double room(UpstreamLoad engine, double maxRequests, long nowMillis) {
    return Math.max(0, maxRequests - engine.estimatedRequests(nowMillis) - 1);
  }

  /**
   * Returns the engines that hold the session's prompt and, if there are any, the engines that may
   * fetch it from them.
   */
  private List<UpstreamLoad> sessionEngines(
      Prompt prompt, List<UpstreamLoad> order, boolean canFetch, long nowMillis) {
    List<UpstreamLoad> engines = new ArrayList<>();
    Set<Integer> holders = index.holders(prompt.affinityPart(), nowMillis);
    for (UpstreamLoad engine : order) {
      if (holders.contains(engine.key())) {
        engines.add(engine);
      }
    }
    if (engines.isEmpty() || !canFetch) {
      return engines;
    }
    if (engines.size() < ENGINES_PER_SESSION) {
      secondEngine(engines.getFirst(), order).ifPresent(engines::add);
    }
    if (!engines.contains(order.getFirst())) {
      engines.addFirst(order.getFirst());
    }
    return engines;
  }

  private int cost(Prompt prompt, UpstreamLoad engine, UpstreamLoad home, long nowMillis) {
    int cost = engine.estimatedRequests(nowMillis);
    if (!engine.zone().equals(ownZone)) {
      cost += CROSS_ZONE_PENALTY_REQUESTS;
    }
    if (index.holds(prompt.affinityPart(), engine, nowMillis)) {
      return cost;
    }
    return cost + (engine == home ? HOME_FETCH_PENALTY_REQUESTS : FETCH_PENALTY_REQUESTS);
  }

  /**
   * Returns the first engine outside the holder's zone, or else the first engine other than the
   * holder.
   */
  private static Optional<UpstreamLoad> secondEngine(
      UpstreamLoad holder, List<UpstreamLoad> order) {
    return order.stream()
        .filter(engine -> !engine.zone().equals(holder.zone()))
        .findFirst()
        .or(() -> order.stream().filter(engine -> engine != holder).findFirst());
  }

  /**
   * Returns the engine from which the chosen engine can fetch a session's prompt instead of
   * prefilling it again, or empty if the prompt has no parts, the chosen engine holds it or there
   * is no other engine.
   *
   * <p>Handles spills, replacements and evacuations. An engine that is known to hold the session's
   * part is preferred. Otherwise, because all VMs place requests alike, the prompt is expected on
   * the first engine in the session's order among all present engines, including engines that are
   * leaving or ejected. If the chosen engine is that first engine, the source is an engine that is
   * known to hold the first part, unless the chosen engine holds it too; else the first engine in
   * the order that started before the chosen engine, because sessions were placed there before; and
   * last the next engine in the order.
   *
   * @param prompt the request's prompt
   * @param chosen the engine that serves the request
   * @param present all responsive engines of the service
   * @param nowMillis the time
   */
  public Optional<UpstreamLoad> fetchSource(
      Prompt prompt, UpstreamLoad chosen, List<UpstreamLoad> present, long nowMillis) {
    if (prompt.parts().isEmpty() || index.holds(prompt.affinityPart(), chosen, nowMillis)) {
      return Optional.empty();
    }
    List<UpstreamLoad> order = order(prompt, present);
    return leastLoadedHolder(prompt.affinityPart(), chosen, present, nowMillis)
        .or(() -> order.stream().findFirst().filter(engine -> engine != chosen))
        .or(() -> holderOfMissingPart(prompt.parts().getFirst(), chosen, present, nowMillis))
        .or(() -> order.stream().filter(engine -> isOlder(engine, chosen)).findFirst())
        .or(() -> order.stream().filter(engine -> engine != chosen).findFirst());
  }

  private static boolean isOlder(UpstreamLoad engine, UpstreamLoad chosen) {
    return engine.startUnixMillis() + SIMULTANEOUS_START_MILLIS < chosen.startUnixMillis();
  }

  private Optional<UpstreamLoad> holderOfMissingPart(
      PromptPart part, UpstreamLoad chosen, List<UpstreamLoad> present, long nowMillis) {
    return index.holds(part, chosen, nowMillis)
        ? Optional.empty()
        : leastLoadedHolder(part, chosen, present, nowMillis);
  }

  private Optional<UpstreamLoad> leastLoadedHolder(
      PromptPart part, UpstreamLoad chosen, List<UpstreamLoad> present, long nowMillis) {
    Set<Integer> holders = index.holders(part, nowMillis);
    return present.stream()
        .filter(engine -> engine != chosen && holders.contains(engine.key()))
        .min(Comparator.comparingInt(engine -> engine.estimatedRequests(nowMillis)));
  }

  /** Returns the engines in the session's order, with the group of its first part first. */
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
    double wantedEngines =
        engines * Math.min(1, CHEAP_PREFILL_TOKENS / Math.max(1, first.tokens()));
    int group = MIN_GROUP_ENGINES;
    while (group < wantedEngines) {
      group *= 2;
    }
    return Math.min(group, engines);
  }

  private static Optional<UpstreamLoad> firstWithinBound(
      List<UpstreamLoad> order, double bound, long nowMillis) {
    for (UpstreamLoad engine : order) {
      if (engine.estimatedRequests(nowMillis) + 1 <= bound) {
        return Optional.of(engine);
      }
    }
    return Optional.empty();
  }

  private static Optional<UpstreamLoad> leastLoaded(List<UpstreamLoad> open, long nowMillis) {
    return open.stream()
        .min(Comparator.comparingInt(engine -> engine.estimatedRequests(nowMillis)));
  }

  private static List<UpstreamLoad> byWeight(List<UpstreamLoad> engines, long keyHash) {
    List<Weighted> weighted = new ArrayList<>(engines.size());
    for (UpstreamLoad engine : engines) {
      weighted.add(new Weighted(engine, engine.weight(keyHash)));
    }
    weighted.sort(HEAVIEST_FIRST);
    List<UpstreamLoad> ordered = new ArrayList<>(weighted.size());
    weighted.forEach(it -> ordered.add(it.engine()));
    return ordered;
  }

  private record Weighted(UpstreamLoad engine, long weight) {}
}
