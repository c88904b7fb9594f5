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
 * Tracks the published VM list and the VMs in it that this VM or its peers find unreachable.
 *
 * <p>Invariants: the list's version never decreases; the number of probes per second does not
 * depend on the size of the fleet. Called on the coordination thread only.
 */
public final class Membership implements MembershipCommands, MembershipQueries {
  static final int PROBE_PERIOD_MILLIS = 1_000;
  static final int PROBE_TIMEOUT_MILLIS = 500;
  static final int GAP_FILL_MILLIS = 2_000;

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
  private long adoptedLists;
  private long olderLists;
  private long conflictingLists;
  private long staleIncarnations;
  private long unexpectedMessages;

  /**
   * Creates the membership view of one VM, without any list.
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
      time.after(GAP_FILL_MILLIS, () -> adopt(list));
    } else {
      adopt(list);
    }
  }

  @Override
  public void receive(VmId from, MembershipMessage message) {
    switch (message) {
      case MembershipMessage.Probe probe -> handleProbe(from, probe);
      case MembershipMessage.Reply reply -> handleReply(from, reply);
      case ListRequest request -> sendList(from, request);
      case MembershipMessage.ListChanges changes -> changes.changes().forEach(this::apply);
      case ListPage page -> handlePage(from, page);
    }
  }

  @Override
  public void recordSuccess(VmId vm) {
    suspicions.recordSuccess(vm, time.nowMillis());
  }

  @Override
  public void recordFailure(VmId vm) {
    suspicions.recordFailure(vm, time.nowMillis());
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
  public ListRequest nextListRequest() {
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
    return new MembershipCounters(
        adoptedLists, olderLists, conflictingLists, staleIncarnations, unexpectedMessages);
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
    time.after(PROBE_TIMEOUT_MILLIS, () -> handleProbeTimeout(probeId));
  }

  private void handleProbeTimeout(int probeId) {
    VmId peer = probes.remove(probeId);
    if (peer != null) {
      boolean wasUnsuspected = !isSuspected(peer);
      recordFailure(peer);
      if (wasUnsuspected && !isSuspected(peer)) {
        probe(peer);
      }
    }
  }

  private void handleProbe(VmId from, MembershipMessage.Probe probe) {
    if (acceptPeerState(from, probe.incarnation(), probe.listVersion(), probe.suspicions())) {
      transport.send(
          from,
          new MembershipMessage.Reply(
              incarnation, probe.probeId(), history.version(), ownSuspicions()));
    }
  }

  private void handleReply(VmId from, MembershipMessage.Reply reply) {
    if (!from.equals(probes.get(reply.probeId()))) {
      unexpectedMessages++;
      return;
    }
    probes.remove(reply.probeId());
    if (acceptPeerState(from, reply.incarnation(), reply.listVersion(), reply.suspicions())) {
      recordSuccess(from);
    }
  }

  private boolean acceptPeerState(
      VmId from, Incarnation run, long listVersion, List<Suspicion> reported) {
    PeerRuns.RunStatus status = runs.observe(from, run);
    if (status == PeerRuns.RunStatus.PAST) {
      staleIncarnations++;
      return false;
    }
    if (status == PeerRuns.RunStatus.RESTARTED) {
      suspicions.forget(from);
    }
    for (Suspicion suspicion : reported) {
      if (runs.current(suspicion.vm()).filter(suspicion.incarnation()::equals).isPresent()) {
        suspicions.recordReport(from, suspicion.vm(), time.nowMillis());
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

  private void handlePage(VmId from, ListPage page) {
    if (page.version() <= history.version() || !pages.add(page)) {
      unexpectedMessages++;
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
      adoptedLists++;
      suspicions.retain(list);
      runs.retain(list);
    } else if (list.version() < history.version()) {
      olderLists++;
    } else if (!list.equals(history.newest().orElseThrow())) {
      conflictingLists++;
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
