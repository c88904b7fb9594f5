package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;
import org.ragworttide.coordination.message.AdmissionMessage.Feedback;
import org.ragworttide.coordination.message.AdmissionMessage.Grant;
import org.ragworttide.coordination.message.AdmissionMessage.TurnedCold;
import org.ragworttide.coordination.message.AdmissionMessage.Warm;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Issuer of permits for the upstreams that this VM owns.
 *
 * <p>Invariants: no permit outlives the lease under which it was issued; the state of an upstream
 * is discarded once its lease has lapsed. Confined to the coordination thread.
 */
final class PermitOwner {
  private final TimerService time;
  private final OwnerView owners;
  private final Transport transport;
  private final FanOut fanOut;
  private final AdmissionSettings settings;
  private final SplittableRandom random;
  private final Map<UpstreamId, OwnedUpstream> owned = new HashMap<>();
  private final Map<UpstreamId, Long> incarnations = new HashMap<>();
  private Map<UpstreamId, Integer> coldLimits = Map.of();
  private Map<UpstreamId, UpstreamWithoutLoadReports> unreported = Map.of();
  private List<VmId> listedVms = List.of();

  PermitOwner(
      TimerService time,
      OwnerView owners,
      Transport transport,
      FanOut fanOut,
      AdmissionSettings settings,
      SplittableRandom random) {
    this.time = time;
    this.owners = owners;
    this.transport = transport;
    this.fanOut = fanOut;
    this.settings = settings;
    this.random = random;
  }

  void setColdLimits(Map<UpstreamId, Integer> limits) {
    setColdLimits(limits, Map.of());
  }

  void setColdLimits(
      Map<UpstreamId, Integer> limits,
      Map<UpstreamId, UpstreamWithoutLoadReports> unreportedUpstreams) {
    coldLimits = Map.copyOf(limits);
    unreported = Map.copyOf(unreportedUpstreams);
    owned.keySet().retainAll(coldLimits.keySet());
    incarnations.keySet().retainAll(coldLimits.keySet());
    owned.forEach((upstream, entry) -> entry.state.setColdLimit(permitLimit(upstream)));
  }

  /** Sets the listed daemons, including those that are leaving. */
  void setListedVms(List<VmId> vms) {
    listedVms = List.copyOf(vms);
    owned.values().forEach(entry -> entry.poll.setListedVms(listedVms));
  }

  /** Keeps the state of owned upstreams while their leases last, and continues open polls. */
  void refresh() {
    for (UpstreamId upstream : List.copyOf(owned.keySet())) {
      OwnedUpstream entry = findCurrent(upstream);
      if (entry != null) {
        pollDaemons(upstream, entry);
      }
    }
  }

  /** Polls daemons for the requests they run at a cold upstream that publishes no load. */
  private void pollDaemons(UpstreamId upstream, OwnedUpstream entry) {
    if (unreported.containsKey(upstream) && !entry.state.isWarm()) {
      long number = entry.episode;
      Ask pollRequest = new Ask(upstream, 0, ColdAdmission.POLL_ASKER, number, number, 0);
      entry.poll.nextToPoll().forEach(vm -> transport.send(vm, pollRequest));
    }
  }

  void report(UpstreamId upstream, long incarnation, long measuredAtMillis, long load) {
    incarnations.put(upstream, incarnation);
    OwnedUpstream entry = findCurrent(upstream);
    if (entry == null) {
      return;
    }
    if (entry.state.incarnation() != incarnation) {
      entry.state.restart(incarnation, time.nowMillis());
    }
    entry.state.recordLoad(measuredAtMillis, load);
  }

  void receive(VmId from, AdmissionMessage message) {
    switch (message) {
      case Ask ask -> onAsk(from, ask);
      case Feedback feedback -> onFeedback(from, feedback);
      case Warm warm -> onWarm(from, warm);
      case Grant grant -> {}
      case TurnedCold turnedCold -> {}
    }
  }

  /** Returns the proven concurrency level of the upstream, if this VM owns it. */
  OptionalLong level(UpstreamId upstream) {
    OwnedUpstream entry = findCurrent(upstream);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.state.level());
  }

  private void onAsk(VmId from, Ask ask) {
    OwnedUpstream entry = findOrCreate(ask.upstream());
    if (entry == null || entry.state.incarnation() != ask.upstreamIncarnation()) {
      return;
    }
    ColdUpstream state = entry.state;
    if (!state.recordIfNew(ask.asker(), ask.number())) {
      return;
    }
    if (state.isWarm()) {
      transport.send(
          from, new Warm(ask.upstream(), state.incarnation(), ask.asker(), ask.number()));
      return;
    }
    long now = time.nowMillis();
    long remainingLeaseMillis =
        (long) ((entry.ownedUntilMillis - now) * (1 - settings.clockRateTolerance()));
    long validMillis = Math.min(settings.permitMillis(), remainingLeaseMillis);
    ColdUpstream.IssuedPermits issued = state.issue(ask, validMillis, now);
    transport.send(
        from,
        new Grant(
            ask.upstream(),
            ask.asker(),
            ask.number(),
            issued.first(),
            issued.count(),
            Math.max(0, validMillis)));
  }

  private void onFeedback(VmId from, Feedback feedback) {
    OwnedUpstream entry = findOrCreate(feedback.upstream());
    if (entry == null) {
      return;
    }
    ColdUpstream state = entry.state;
    feedback.returned().forEach(state::release);
    if (feedback.returned().contains(entry.episode)) {
      recordPollAnswer(from, entry);
    }
    boolean sameProcess = feedback.upstreamIncarnation() == state.incarnation();
    if (!sameProcess || !state.recordIfNew(feedback.asker(), feedback.number())) {
      return;
    }
    boolean failedWithoutLoadReports =
        feedback.failed() > 0 && unreported.containsKey(feedback.upstream());
    if (failedWithoutLoadReports && state.isWarm()) {
      turnCold(feedback.upstream(), entry);
      return;
    }
    state.recordOutcomes(feedback.succeeded(), feedback.failed());
    if (feedback.slow() > 0) {
      if (state.showsCold(feedback.slow(), time.nowMillis())) {
        turnCold(feedback.upstream(), entry);
      } else {
        repeatTurnedCold(from, feedback.upstream(), entry);
      }
    }
  }

  private static void recordPollAnswer(VmId from, OwnedUpstream entry) {
    entry.poll.recordAnswer(from);
    if (entry.poll.isComplete()) {
      entry.state.clearInherited();
    }
  }

  private void onWarm(VmId from, Warm warm) {
    OwnedUpstream entry = findOrCreate(warm.upstream());
    if (entry != null) {
      boolean unsolicited = warm.number() != entry.episode;
      if (unsolicited && unreported.containsKey(warm.upstream())) {
        // Only an answer to this lease's poll is surely newer than the last cold turn.
        return;
      }
      entry.state.confirmWarm(warm.upstreamIncarnation());
      repeatTurnedCold(from, warm.upstream(), entry);
    }
  }

  private void turnCold(UpstreamId upstream, OwnedUpstream entry) {
    entry.state.markCold(time.nowMillis());
    entry.episode = random.nextLong();
    entry.poll.restart();
    fanOut.broadcast(new TurnedCold(upstream, entry.state.incarnation(), entry.episode, true));
    pollDaemons(upstream, entry);
  }

  /** Repeats the cold-turn notice to a single daemon, if the upstream has turned cold. */
  private void repeatTurnedCold(VmId to, UpstreamId upstream, OwnedUpstream entry) {
    if (entry.state.hasTurnedCold()) {
      transport.send(to, new TurnedCold(upstream, entry.state.incarnation(), entry.episode, false));
    }
  }

  /** Returns the state of an upstream under the current lease, creating it if necessary. */
  private OwnedUpstream findOrCreate(UpstreamId upstream) {
    OwnedUpstream entry = findCurrent(upstream);
    Integer coldLimit = coldLimits.get(upstream);
    OptionalLong ownedUntil = owners.ownedUntilMillis(ColdAdmission.resource(upstream));
    boolean leaseHeld = ownedUntil.isPresent() && ownedUntil.getAsLong() > time.nowMillis();
    if (entry != null || coldLimit == null || !leaseHeld) {
      return entry;
    }
    long incarnation = incarnations.getOrDefault(upstream, 0L);
    ColdUpstream state =
        new ColdUpstream(
            permitLimit(upstream),
            incarnation,
            random.nextLong() >>> 1,
            settingsFor(upstream),
            time.nowMillis());
    OwnedUpstream created = new OwnedUpstream(state, ownedUntil.getAsLong(), random.nextLong());
    owned.put(upstream, created);
    created.poll.setListedVms(listedVms);
    pollDaemons(upstream, created);
    return created;
  }

  private int permitLimit(UpstreamId upstream) {
    UpstreamWithoutLoadReports parameters = unreported.get(upstream);
    return coldLimits.get(upstream) - (parameters == null ? 0 : parameters.reserved());
  }

  private AdmissionSettings settingsFor(UpstreamId upstream) {
    UpstreamWithoutLoadReports parameters = unreported.get(upstream);
    // An unreachable daemon may treat the upstream as warm until its warm status expires.
    return parameters == null
        ? settings
        : settings.withMaxRunMillis(settings.warmMillis() + parameters.longestRunMillis());
  }

  private OwnedUpstream findCurrent(UpstreamId upstream) {
    OwnedUpstream entry = owned.get(upstream);
    if (entry == null) {
      return null;
    }
    long now = time.nowMillis();
    OptionalLong ownedUntil = owners.ownedUntilMillis(ColdAdmission.resource(upstream));
    boolean lapsed = entry.ownedUntilMillis <= now;
    if (lapsed || ownedUntil.isEmpty() || ownedUntil.getAsLong() <= now) {
      owned.remove(upstream);
      return null;
    }
    entry.ownedUntilMillis = ownedUntil.getAsLong();
    return entry;
  }

  private static final class OwnedUpstream {
    private final ColdUpstream state;
    private final InFlightPoll poll = new InFlightPoll();
    private long ownedUntilMillis;

    /** Random number that identifies the last cold turn, or this lease if there was none yet. */
    private long episode;

    private OwnedUpstream(ColdUpstream state, long ownedUntilMillis, long episode) {
      this.state = state;
      this.ownedUntilMillis = ownedUntilMillis;
      this.episode = episode;
    }
  }
}
