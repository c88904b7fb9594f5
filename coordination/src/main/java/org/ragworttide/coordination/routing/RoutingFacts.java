package org.ragworttide.coordination.routing;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.time.TimerService;

/**
 * Receives the facts on which routing decisions are based.
 *
 * <p>Invariant: an implausible fact is counted and ignored, and the last valid state remains.
 * Confined to the coordination thread.
 */
public final class RoutingFacts {
  private final RoutingState state;
  private final RouterSettings settings;
  private final TimerService time;

  RoutingFacts(RoutingState state, RouterSettings settings, TimerService time) {
    this.state = state;
    this.settings = settings;
    this.time = time;
  }

  /** Replaces the list of upstreams, unless it is empty or names one twice. */
  public void upstreams(List<UpstreamSpec> specs) {
    Set<UpstreamId> ids = new HashSet<>();
    if (specs.isEmpty()) {
      state.countIgnored(IgnoredFact.EMPTY_UPSTREAMS);
    } else if (!specs.stream().allMatch(spec -> ids.add(spec.id()))) {
      state.countIgnored(IgnoredFact.DUPLICATE_UPSTREAM);
    } else {
      state.upstreams(specs, time.nowMillis());
    }
  }

  /**
   * Replaces the states of the availability zones; a zone that is not listed is {@link
   * ZoneState#IN}.
   */
  public void zones(Map<ZoneId, ZoneState> states) {
    state.zones(states, time.nowMillis());
  }

  /**
   * Sets how many daemons share the traffic.
   *
   * @param daemons how many daemons are live
   * @param rank this daemon's index among them, sorted by id, from 0
   */
  public void fleet(int daemons, int rank) {
    if (daemons <= 0 || rank < 0 || rank >= daemons) {
      state.countIgnored(IgnoredFact.ABSURD_FLEET);
    } else {
      state.fleet(new FleetPosition(daemons, rank));
    }
  }

  /** Applies a load report and returns whether it shows a restart of the engine. */
  public boolean recordLoadReport(LoadReport report) {
    UpstreamTracker tracker = state.tracker(report.upstream());
    if (tracker == null) {
      state.countIgnored(IgnoredFact.UNKNOWN_UPSTREAM);
    } else if (isAbsurd(report.running()) || isAbsurd(report.waiting())) {
      state.countIgnored(IgnoredFact.ABSURD_LOAD);
    } else if (report.measuredAtMillis() > time.nowMillis() + settings.futureToleranceMillis()) {
      state.countIgnored(IgnoredFact.FUTURE_REPORT);
    } else if (report.measuredAtMillis() <= tracker.measuredAtMillis()) {
      state.countIgnored(IgnoredFact.OLD_REPORT);
    } else {
      return accept(tracker, report);
    }
    return false;
  }

  /** Replaces the set of models that an upstream serves but does not have loaded. */
  public void updateMissingModels(UpstreamId upstream, Set<ModelId> models) {
    UpstreamTracker tracker = state.tracker(upstream);
    if (tracker == null) {
      state.countIgnored(IgnoredFact.UNKNOWN_UPSTREAM);
    } else {
      tracker.setMissingModels(models);
    }
  }

  /** Records a cache event as a hint. */
  public void recordCacheEvent(CacheEvent event) {
    UpstreamTracker tracker = state.tracker(event.upstream());
    if (tracker == null) {
      state.countIgnored(IgnoredFact.UNKNOWN_UPSTREAM);
      return;
    }
    if (!tracker.advanceCacheSequence(event.sequence())) {
      state.countIgnored(IgnoredFact.OLD_CACHE_EVENT);
      return;
    }
    long chat = Rendezvous.hash(event.chat().value());
    if (event.stored()) {
      state.hints().put(chat, tracker.hash);
    } else {
      state.hints().remove(chat, tracker.hash);
    }
  }

  private boolean accept(UpstreamTracker tracker, LoadReport report) {
    boolean restarted = tracker.applyReport(report);
    if (restarted) {
      tracker.startRamp(time.nowMillis(), settings.rampMillis());
      tracker.resetCacheSequence();
      state.hints().removeUpstream(tracker.hash);
    }
    return restarted;
  }

  private boolean isAbsurd(long count) {
    return count < 0 || count > settings.maxPlausibleLoad();
  }
}
