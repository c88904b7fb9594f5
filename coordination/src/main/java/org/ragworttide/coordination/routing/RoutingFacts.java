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
 * Takes the facts in that routing decisions rest on.
 *
 * <p>Invariant: a fact that cannot be true is counted and ignored, and the last good state stays.
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
      state.ignore(IgnoredFact.EMPTY_UPSTREAMS);
    } else if (!specs.stream().allMatch(spec -> ids.add(spec.id()))) {
      state.ignore(IgnoredFact.DUPLICATE_UPSTREAM);
    } else {
      state.upstreams(specs, time.nowMillis());
    }
  }

  /** Replaces the states of the availability zones; a zone not named is in. */
  public void zones(Map<ZoneId, ZoneState> states) {
    state.zones(states, time.nowMillis());
  }

  /**
   * Tells how many daemons share the traffic.
   *
   * @param daemons how many daemons are live
   * @param rank this daemon's place among them, sorted by id, from 0
   */
  public void fleet(int daemons, int rank) {
    if (daemons <= 0 || rank < 0 || rank >= daemons) {
      state.ignore(IgnoredFact.ABSURD_FLEET);
    } else {
      state.fleet(new FleetShare(daemons, rank));
    }
  }

  /** Takes a load report and tells whether it shows a restart of the engine. */
  public boolean load(LoadReport report) {
    UpstreamTracker tracker = state.tracker(report.upstream());
    if (tracker == null) {
      state.ignore(IgnoredFact.UNKNOWN_UPSTREAM);
    } else if (isAbsurd(report.running()) || isAbsurd(report.waiting())) {
      state.ignore(IgnoredFact.ABSURD_LOAD);
    } else if (report.measuredAtMillis() > time.nowMillis() + settings.futureToleranceMillis()) {
      state.ignore(IgnoredFact.FUTURE_REPORT);
    } else if (report.measuredAtMillis() <= tracker.measuredAtMillis()) {
      state.ignore(IgnoredFact.OLD_REPORT);
    } else {
      return accept(tracker, report);
    }
    return false;
  }

  /** Notes which of its models an upstream does not have loaded, in place of what was noted. */
  public void lacking(UpstreamId upstream, Set<ModelId> models) {
    UpstreamTracker tracker = state.tracker(upstream);
    if (tracker == null) {
      state.ignore(IgnoredFact.UNKNOWN_UPSTREAM);
    } else {
      tracker.lacking(models);
    }
  }

  /** Takes a cache event as a hint. */
  public void cache(CacheEvent event) {
    UpstreamTracker tracker = state.tracker(event.upstream());
    if (tracker == null) {
      state.ignore(IgnoredFact.UNKNOWN_UPSTREAM);
      return;
    }
    if (!tracker.cacheSequence(event.sequence())) {
      state.ignore(IgnoredFact.OLD_CACHE_EVENT);
      return;
    }
    long chat = Rendezvous.hash(event.chat().value());
    if (event.stored()) {
      state.hints().stored(chat, tracker.hash);
    } else {
      state.hints().evicted(chat, tracker.hash);
    }
  }

  private boolean accept(UpstreamTracker tracker, LoadReport report) {
    boolean restarted = tracker.report(report);
    if (restarted) {
      tracker.ramp(time.nowMillis(), settings.rampMillis());
      tracker.forgetCacheSequence();
      state.hints().forgetUpstream(tracker.hash);
    }
    return restarted;
  }

  private boolean isAbsurd(long count) {
    return count < 0 || count > settings.maxPlausibleLoad();
  }
}
