package org.ragworttide.coordination.routing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;

/**
 * Holds the facts on which routing decisions are based.
 *
 * <p>Invariant: the candidate sets hold exactly the listed upstreams of each model. Confined to the
 * coordination thread.
 */
final class RoutingState {
  private final RouterSettings settings;
  private final HintTable hints;
  private final ParallelChats chats = new ParallelChats();
  private final Map<IgnoredFact, Long> ignored = new EnumMap<>(IgnoredFact.class);
  private Map<UpstreamId, UpstreamTracker> trackers = new LinkedHashMap<>();
  private Map<ModelId, CandidateSet> candidates = Map.of();
  private Map<ZoneId, ZoneState> zones = Map.of();
  private FleetPosition fleet = new FleetPosition(1, 0);

  RoutingState(RouterSettings settings) {
    this.settings = settings;
    this.hints = new HintTable(settings.hintEntries());
  }

  HintTable hints() {
    return hints;
  }

  ParallelChats chats() {
    return chats;
  }

  FleetPosition fleet() {
    return fleet;
  }

  void fleet(FleetPosition newFleet) {
    this.fleet = newFleet;
  }

  UpstreamTracker tracker(UpstreamId id) {
    return trackers.get(id);
  }

  CandidateSet candidates(ModelId model) {
    return candidates.get(model);
  }

  Iterable<UpstreamTracker> trackers() {
    return trackers.values();
  }

  void countIgnored(IgnoredFact reason) {
    ignored.merge(reason, 1L, Long::sum);
  }

  long ignored(IgnoredFact reason) {
    return ignored.getOrDefault(reason, 0L);
  }

  /** Replaces the upstreams; those that remain keep their loads and slots. */
  void upstreams(List<UpstreamSpec> specs, long nowMillis) {
    final boolean first = trackers.isEmpty();
    Map<UpstreamId, UpstreamTracker> old = trackers;
    old.values().forEach(UpstreamTracker::removeTotals);
    trackers = new LinkedHashMap<>();
    for (UpstreamSpec spec : specs) {
      UpstreamTracker tracker = old.getOrDefault(spec.id(), new UpstreamTracker(spec));
      tracker.spec(spec);
      trackers.put(spec.id(), tracker);
    }
    candidates = candidatesByModel();
    updateOpenUpstreams(!first, nowMillis);
  }

  void zones(Map<ZoneId, ZoneState> states, long nowMillis) {
    zones = Map.copyOf(states);
    updateOpenUpstreams(true, nowMillis);
  }

  private void updateOpenUpstreams(boolean ramp, long nowMillis) {
    for (UpstreamTracker tracker : trackers.values()) {
      UpstreamSpec spec = tracker.spec();
      boolean zoneIn = zones.getOrDefault(spec.zone(), ZoneState.IN) == ZoneState.IN;
      tracker.setOpen(spec.inService() && zoneIn, nowMillis, settings.rampMillis());
      if (!ramp) {
        tracker.endRamp();
      }
    }
  }

  private Map<ModelId, CandidateSet> candidatesByModel() {
    Map<ModelId, List<UpstreamTracker>> byModel = new HashMap<>();
    for (UpstreamTracker tracker : trackers.values()) {
      for (ModelId model : tracker.spec().models()) {
        byModel.computeIfAbsent(model, m -> new ArrayList<>()).add(tracker);
      }
    }
    Map<ModelId, CandidateSet> sets = new HashMap<>();
    byModel.forEach((model, list) -> sets.put(model, new CandidateSet(model, list, settings)));
    return sets;
  }
}
