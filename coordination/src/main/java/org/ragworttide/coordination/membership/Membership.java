package org.ragworttide.coordination.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.MembershipMessage.ListChange;
import org.ragworttide.coordination.message.MembershipMessage.ListPage;
import org.ragworttide.coordination.message.MembershipMessage.ListRequest;
import org.ragworttide.coordination.message.MembershipMessage.Suspicion;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Follows the published VM list and corrects it by what this VM and its peers observe.
 *
 * <p>Invariants: the list's version never goes back; the number of probes a second does not depend
 * on the size of the fleet. Called on the coordination thread only.
 */
public final class Membership implements MembershipCommands, MembershipQueries {
  static final int PROBE_PERIOD_MILLIS = 1_000;
  static final int PROBE_TIMEOUT_MILLIS = 500;
  static final int GAP_WAIT_MILLIS = 2_000;

  private final VmId self;
  private final Incarnation incarnation;
  private final TimerService time;
  private final Transport transport;
  private final RandomGenerator random;
  private final ListHistory history = new ListHistory();
  private final Suspicions suspicions = new Suspicions();
  private final PeerRuns runs = new PeerRuns();
  private final PageAssembler pages = new PageAssembler();
  private final Map<Integer, VmId> probes = new HashMap<>();
  private int nextProbeId;
  private long adopted;
  private long goneBack;
  private long conflicts;
  private long stale;
  private long unexpected;

  /**
   * Creates the view of one VM, without any list.
   *
   * @param self this VM
   * @param incarnation this run of the process
   * @param time the timer service
   * @param transport sends to peers
   * @param random chooses the peers to probe
   */
  public Membership(
      VmId self,
      Incarnation incarnation,
      TimerService time,
      Transport transport,
      RandomGenerator random) {
    this.self = self;
    this.incarnation = incarnation;
    this.time = time;
    this.transport = transport;
    this.random = random;
    time.every(PROBE_PERIOD_MILLIS, this::probe);
  }

  @Override
  public void offer(VmList list) {
    long version = history.version();
    if (list.version() > version + 1 && version > 0) {
      randomPeer().ifPresent(peer -> transport.send(peer, new ListRequest(version, 0, 0)));
      time.after(GAP_WAIT_MILLIS, () -> adopt(list));
    } else {
      adopt(list);
    }
  }

  @Override
  public void receive(VmId from, MembershipMessage message) {
    switch (message) {
      case MembershipMessage.Probe probe -> answer(from, probe);
      case MembershipMessage.Reply reply -> takeReply(from, reply);
      case ListRequest request -> sendList(from, request);
      case MembershipMessage.ListChanges changes -> changes.changes().forEach(this::apply);
      case ListPage page -> takePage(from, page);
    }
  }

  @Override
  public void succeeded(VmId vm) {
    suspicions.succeeded(vm, time.nowMillis());
  }

  @Override
  public void failed(VmId vm) {
    suspicions.failed(vm, time.nowMillis());
  }

  @Override
  public Optional<VmList> list() {
    return history.newest();
  }

  @Override
  public List<VmList> recentLists() {
    return history.all();
  }

  @Override
  public ListRequest listQuestion() {
    return new ListRequest(history.version(), pages.version(), pages.nextPage());
  }

  @Override
  public boolean isSuspected(VmId vm) {
    return !vm.equals(self) && suspicions.isSuspected(vm, time.nowMillis());
  }

  @Override
  public Optional<Incarnation> incarnationOf(VmId vm) {
    return vm.equals(self) ? Optional.of(incarnation) : runs.current(vm);
  }

  @Override
  public MembershipCounters counters() {
    return new MembershipCounters(adopted, goneBack, conflicts, stale, unexpected);
  }

  private void probe() {
    randomPeer().ifPresent(this::probe);
  }

  private void probe(VmId peer) {
    int probeId = nextProbeId++;
    probes.put(probeId, peer);
    transport.send(
        peer,
        new MembershipMessage.Probe(incarnation, probeId, history.version(), ownSuspicions()));
    time.after(PROBE_TIMEOUT_MILLIS, () -> timeOut(probeId));
  }

  private void timeOut(int probeId) {
    VmId peer = probes.remove(probeId);
    if (peer != null) {
      boolean first = !isSuspected(peer);
      failed(peer);
      if (first && !isSuspected(peer)) {
        probe(peer);
      }
    }
  }

  private void answer(VmId from, MembershipMessage.Probe probe) {
    if (hears(from, probe.incarnation(), probe.listVersion(), probe.suspicions())) {
      transport.send(
          from,
          new MembershipMessage.Reply(
              incarnation, probe.probeId(), history.version(), ownSuspicions()));
    }
  }

  private void takeReply(VmId from, MembershipMessage.Reply reply) {
    if (!from.equals(probes.get(reply.probeId()))) {
      unexpected++;
      return;
    }
    probes.remove(reply.probeId());
    if (hears(from, reply.incarnation(), reply.listVersion(), reply.suspicions())) {
      succeeded(from);
    }
  }

  private boolean hears(VmId from, Incarnation run, long listVersion, List<Suspicion> told) {
    PeerRuns.Sighting sighting = runs.seen(from, run);
    if (sighting == PeerRuns.Sighting.PAST) {
      stale++;
      return false;
    }
    if (sighting == PeerRuns.Sighting.RESTARTED) {
      suspicions.forget(from);
    }
    for (Suspicion suspicion : told) {
      if (runs.current(suspicion.vm()).filter(suspicion.incarnation()::equals).isPresent()) {
        suspicions.told(from, suspicion.vm(), time.nowMillis());
      }
    }
    if (listVersion > history.version()) {
      transport.send(from, new ListRequest(history.version(), 0, 0));
    }
    return true;
  }

  private void sendList(VmId from, ListRequest request) {
    Optional<VmList> newest = history.newest();
    if (newest.isEmpty() || request.knownVersion() >= history.version()) {
      return;
    }
    List<ListChange> changes = history.changesSince(request.knownVersion());
    if (!changes.isEmpty()) {
      transport.send(from, new MembershipMessage.ListChanges(changes));
      return;
    }
    int page = request.pageVersion() == history.version() ? request.page() : 0;
    PageAssembler.page(newest.get(), page).ifPresent(found -> transport.send(from, found));
  }

  private void takePage(VmId from, ListPage page) {
    if (page.version() <= history.version() || !pages.add(page)) {
      unexpected++;
      return;
    }
    Optional<VmList> complete = pages.complete(page);
    if (complete.isPresent()) {
      adopt(complete.get());
    } else {
      transport.send(from, new ListRequest(history.version(), page.version(), pages.nextPage()));
    }
  }

  private void apply(ListChange change) {
    history.apply(change).ifPresent(this::adopt);
  }

  private void adopt(VmList list) {
    if (list.version() > history.version()) {
      history.add(list);
      adopted++;
      suspicions.retain(list);
      runs.retain(list);
    } else if (list.version() < history.version()) {
      goneBack++;
    } else if (!list.equals(history.newest().orElseThrow())) {
      conflicts++;
    }
  }

  private List<Suspicion> ownSuspicions() {
    return suspicions.unreachable().stream()
        .flatMap(vm -> runs.current(vm).map(run -> new Suspicion(vm, run)).stream())
        .toList();
  }

  private Optional<VmId> randomPeer() {
    return RandomPeers.pick(history.newest(), self, random);
  }
}
