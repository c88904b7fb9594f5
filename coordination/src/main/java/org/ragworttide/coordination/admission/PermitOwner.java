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
 * Gives permits for the upstreams that this VM owns.
 *
 * <p>Invariants: no permit outlives the lease under which it was given; what is known of an
 * upstream is forgotten when its lease has lapsed. Confined to the coordination thread.
 */
final class PermitOwner {
  private final TimerService time;
  private final OwnerView owners;
  private final Transport transport;
  private final FanOut fanOut;
  private final AdmissionSettings settings;
  private final SplittableRandom random;
  private final Map<UpstreamId, Owned> owned = new HashMap<>();
  private final Map<UpstreamId, Long> incarnations = new HashMap<>();
  private Map<UpstreamId, Integer> coldLimits = Map.of();
  private Map<UpstreamId, UnreportedUpstream> unreported = Map.of();
  private List<VmId> listed = List.of();

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

  void coldLimits(Map<UpstreamId, Integer> limits) {
    coldLimits(limits, Map.of());
  }

  void coldLimits(
      Map<UpstreamId, Integer> limits, Map<UpstreamId, UnreportedUpstream> withoutReports) {
    coldLimits = Map.copyOf(limits);
    unreported = Map.copyOf(withoutReports);
    owned.keySet().retainAll(coldLimits.keySet());
    incarnations.keySet().retainAll(coldLimits.keySet());
    owned.forEach((upstream, entry) -> entry.state.coldLimit(permitLimit(upstream)));
  }

  /** Replaces the daemons that are listed, those that are leaving among them. */
  void listed(List<VmId> vms) {
    listed = List.copyOf(vms);
    owned.values().forEach(entry -> entry.census.listed(listed));
  }

  /** Keeps what is known of owned upstreams alive while their leases last. */
  void refresh() {
    for (UpstreamId upstream : List.copyOf(owned.keySet())) {
      Owned entry = current(upstream);
      if (entry != null) {
        count(upstream, entry);
      }
    }
  }

  /** Asks daemons what they run at a cold upstream that does not report it itself. */
  private void count(UpstreamId upstream, Owned entry) {
    if (unreported.containsKey(upstream) && !entry.state.isWarm()) {
      long number = entry.episode;
      Ask question = new Ask(upstream, 0, ColdAdmission.CENSUS, number, number, 0);
      entry.census.next().forEach(vm -> transport.send(vm, question));
    }
  }

  void report(UpstreamId upstream, long incarnation, long measuredAtMillis, long load) {
    incarnations.put(upstream, incarnation);
    Owned entry = current(upstream);
    if (entry == null) {
      return;
    }
    if (entry.state.incarnation() != incarnation) {
      entry.state.restart(incarnation, time.nowMillis());
    }
    entry.state.report(measuredAtMillis, load);
  }

  void receive(VmId from, AdmissionMessage message) {
    switch (message) {
      case Ask ask -> answer(from, ask);
      case Feedback feedback -> learn(from, feedback);
      case Warm vouch -> vouch(from, vouch);
      case Grant grant -> {}
      case TurnedCold notice -> {}
    }
  }

  /** Returns the level of an upstream that this VM owns. */
  OptionalLong level(UpstreamId upstream) {
    Owned entry = current(upstream);
    return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.state.level());
  }

  private void answer(VmId from, Ask ask) {
    Owned entry = open(ask.upstream());
    if (entry == null || entry.state.incarnation() != ask.upstreamIncarnation()) {
      return;
    }
    ColdUpstream state = entry.state;
    if (!state.isNew(ask.asker(), ask.number())) {
      return;
    }
    if (state.isWarm()) {
      transport.send(
          from, new Warm(ask.upstream(), state.incarnation(), ask.asker(), ask.number()));
      return;
    }
    long now = time.nowMillis();
    long lease = (long) ((entry.ownedUntilMillis - now) * (1 - settings.clockRateTolerance()));
    long valid = Math.min(settings.permitMillis(), lease);
    ColdUpstream.Taken taken = state.take(ask, valid, now);
    transport.send(
        from,
        new Grant(
            ask.upstream(),
            ask.asker(),
            ask.number(),
            taken.first(),
            taken.count(),
            Math.max(0, valid)));
  }

  private void learn(VmId from, Feedback feedback) {
    Owned entry = open(feedback.upstream());
    if (entry == null) {
      return;
    }
    ColdUpstream state = entry.state;
    feedback.returned().forEach(state::giveBack);
    if (feedback.returned().contains(entry.episode)) {
      counted(from, entry);
    }
    boolean sameProcess = feedback.upstreamIncarnation() == state.incarnation();
    if (!sameProcess || !state.isNew(feedback.asker(), feedback.number())) {
      return;
    }
    boolean lost = feedback.failed() > 0 && unreported.containsKey(feedback.upstream());
    if (lost && state.isWarm()) {
      turnCold(feedback.upstream(), entry);
      return;
    }
    state.feedback(feedback.succeeded(), feedback.failed());
    if (feedback.slow() > 0) {
      if (state.showsCold(feedback.slow(), time.nowMillis())) {
        turnCold(feedback.upstream(), entry);
      } else {
        correct(from, feedback.upstream(), entry);
      }
    }
  }

  private static void counted(VmId from, Owned entry) {
    entry.census.answered(from);
    if (entry.census.isComplete()) {
      entry.state.inheritNothing();
    }
  }

  private void vouch(VmId from, Warm vouch) {
    Owned entry = open(vouch.upstream());
    if (entry != null) {
      boolean unasked = vouch.number() != entry.episode;
      if (unasked && unreported.containsKey(vouch.upstream())) {
        // Only an answer to this lease's census is surely newer than the last cold turn.
        return;
      }
      entry.state.vouch(vouch.upstreamIncarnation());
      correct(from, vouch.upstream(), entry);
    }
  }

  private void turnCold(UpstreamId upstream, Owned entry) {
    entry.state.turnCold(time.nowMillis());
    entry.episode = random.nextLong();
    entry.census.begin();
    fanOut.start(new TurnedCold(upstream, entry.state.incarnation(), entry.episode, true));
    count(upstream, entry);
  }

  /** Repeats to a single daemon that the upstream has turned cold, if it has. */
  private void correct(VmId to, UpstreamId upstream, Owned entry) {
    if (entry.state.hasTurnedCold()) {
      transport.send(to, new TurnedCold(upstream, entry.state.incarnation(), entry.episode, false));
    }
  }

  /** Returns what is known of an upstream under the current lease, begun now if need be. */
  private Owned open(UpstreamId upstream) {
    Owned entry = current(upstream);
    Integer coldLimit = coldLimits.get(upstream);
    OptionalLong until = owners.ownedUntilMillis(ColdAdmission.resource(upstream));
    boolean held = until.isPresent() && until.getAsLong() > time.nowMillis();
    if (entry != null || coldLimit == null || !held) {
      return entry;
    }
    long incarnation = incarnations.getOrDefault(upstream, 0L);
    ColdUpstream state =
        new ColdUpstream(
            permitLimit(upstream),
            incarnation,
            random.nextLong() >>> 1,
            settings(upstream),
            time.nowMillis());
    Owned begun = new Owned(state, until.getAsLong(), random.nextLong());
    owned.put(upstream, begun);
    begun.census.listed(listed);
    count(upstream, begun);
    return begun;
  }

  private int permitLimit(UpstreamId upstream) {
    UnreportedUpstream plain = unreported.get(upstream);
    return coldLimits.get(upstream) - (plain == null ? 0 : plain.reserved());
  }

  private AdmissionSettings settings(UpstreamId upstream) {
    UnreportedUpstream plain = unreported.get(upstream);
    // A daemon that is not reached may take the upstream for warm until its word for it runs out.
    return plain == null
        ? settings
        : settings.withMaxRunMillis(settings.warmMillis() + plain.longestRunMillis());
  }

  private Owned current(UpstreamId upstream) {
    Owned entry = owned.get(upstream);
    if (entry == null) {
      return null;
    }
    long now = time.nowMillis();
    OptionalLong until = owners.ownedUntilMillis(ColdAdmission.resource(upstream));
    boolean lapsed = entry.ownedUntilMillis <= now;
    if (lapsed || until.isEmpty() || until.getAsLong() <= now) {
      owned.remove(upstream);
      return null;
    }
    entry.ownedUntilMillis = until.getAsLong();
    return entry;
  }

  private static final class Owned {
    private final ColdUpstream state;
    private final Census census = new Census();
    private long ownedUntilMillis;
    private long episode;

    private Owned(ColdUpstream state, long ownedUntilMillis, long episode) {
      this.state = state;
      this.ownedUntilMillis = ownedUntilMillis;
      this.episode = episode;
    }
  }
}
