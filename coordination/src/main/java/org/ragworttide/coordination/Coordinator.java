package org.ragworttide.coordination;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.admission.AdmissionView;
import org.ragworttide.coordination.claims.ClaimCommands;
import org.ragworttide.coordination.claims.ClaimQueries;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.lease.LeaseQueries;
import org.ragworttide.coordination.limits.LimitCommands;
import org.ragworttide.coordination.limits.LimitQueries;
import org.ragworttide.coordination.membership.Membership;
import org.ragworttide.coordination.membership.MembershipQueries;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.coordination.message.PeerMessage;
import org.ragworttide.coordination.message.QuarantineMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.message.VersionMessage;
import org.ragworttide.coordination.orders.Orders;
import org.ragworttide.coordination.quarantine.Quarantine;
import org.ragworttide.coordination.quarantine.QuarantineCommands;
import org.ragworttide.coordination.quarantine.QuarantineQueries;
import org.ragworttide.coordination.retry.AttemptOutcome;
import org.ragworttide.coordination.retry.BreakerSettings;
import org.ragworttide.coordination.retry.CircuitBreakers;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.routing.UpstreamGate;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.versions.VersionCommands;
import org.ragworttide.coordination.versions.VersionHost;
import org.ragworttide.coordination.versions.VersionQueries;
import org.ragworttide.coordination.versions.Versions;

/**
 * Coordinates one daemon with its fleet: the facade of the library.
 *
 * <p>The embedder passes in messages of peers and the lists and reports of the platform, and
 * requests decisions. Limits, claims and leases exist after {@link #configure} is called; messages
 * about them that arrive earlier are dropped, which peers treat like lost messages.
 *
 * <p>Invariant: a message is delivered to exactly the component of its topic. Confined to the
 * coordination thread, on which the timer service also runs its callbacks.
 */
public final class Coordinator {
  private static final double SOFT_LOAD_SHARE = 0.4;
  private static final long MAX_REPORT_LAG_MILLIS = 2_000;

  private final VmId self;
  private final Incarnation incarnation;
  private final TimerService time;
  private final Transport transport;
  private final Membership membership;
  private final Versions versions;
  private final Quarantine quarantine;
  private final RouterSettings routing;
  private final CircuitBreakers breakers;
  private Router router;
  private QuorumServices quorumServices;
  private long adoptedListVersion;
  private boolean platformListRead;

  /**
   * Creates the coordinator of one daemon, without any list or configuration.
   *
   * @param self this VM
   * @param incarnation this run of the process
   * @param time the timer service
   * @param transport sends to peers
   * @param host validates configuration versions and puts them into force
   * @param routing the settings of the router
   */
  public Coordinator(
      VmId self,
      Incarnation incarnation,
      TimerService time,
      Transport transport,
      VersionHost host,
      RouterSettings routing) {
    this.self = self;
    this.incarnation = incarnation;
    this.time = time;
    this.transport = transport;
    SplittableRandom random = new SplittableRandom(incarnation.value());
    this.membership = new Membership(self, incarnation, time, transport, random.split());
    this.versions = new Versions(self, time, transport, membership, host, random.split());
    this.quarantine =
        new Quarantine(self, time, transport, membership, this::quarantineOwner, random.split());
    this.routing = routing;
    this.breakers = new CircuitBreakers(time, BreakerSettings.DEFAULTS, random.nextLong());
  }

  /** Sets the constants of the fleet; calls after the first have no effect. */
  public void configure(FleetConstants constants) {
    if (quorumServices == null) {
      quorumServices = new QuorumServices(self, incarnation, time, transport, constants);
      double load = constants.loadMultiple();
      double soft = 1 + SOFT_LOAD_SHARE * (load - 1);
      router =
          new Router(
              time,
              routing.withMultiples(soft, load),
              UpstreamGate.all(List.of(quorumServices.cold(), breakers)));
      quorumServices.setListsFromPeersOnly(!platformListRead);
      membership.recentLists().forEach(quorumServices::adopt);
      updateMembers();
    }
  }

  /** Puts the policy of a configuration version into force in all components in one call. */
  public void apply(FleetPolicy policy) {
    requireConfigured().apply(policy);
    router.facts().upstreams(policy.upstreams());
    router.facts().zones(policy.zones());
  }

  /** Handles a list that the platform published. */
  public void offer(VmList list) {
    platformListRead = true;
    if (quorumServices != null) {
      quorumServices.setListsFromPeersOnly(false);
    }
    membership.offer(list);
    adoptLists();
  }

  /** Handles the load that an engine published. */
  public void recordLoad(LoadReport report) {
    if (quorumServices != null) {
      router.facts().recordLoadReport(report);
      long load = report.running() + report.waiting();
      // Admission must not mistake a load that was measured before an upstream turned cold for one
      // that was measured afterwards.
      long earliest = report.measuredAtMillis() - MAX_REPORT_LAG_MILLIS;
      quorumServices
          .cold()
          .recordLoadReport(report.upstream(), report.incarnation(), earliest, load);
    }
  }

  /** Handles a message of a peer. */
  public void receive(VmId from, PeerMessage message) {
    switch (message) {
      case MembershipMessage topic -> {
        membership.receive(from, topic);
        adoptLists();
      }
      case VersionMessage topic -> versions.receive(from, topic);
      case QuarantineMessage topic -> quarantine.receive(from, topic);
      case GroupMessage topic when quorumServices != null -> quorumServices.receive(from, topic);
      case LeaseMessage topic when quorumServices != null ->
          quorumServices.leases().onMessage(from, topic);
      case ClaimMessage topic when quorumServices != null ->
          quorumServices.claims().onMessage(from, topic);
      case LimitMessage topic when quorumServices != null ->
          quorumServices.limits().receive(from, topic);
      case AdmissionMessage topic when quorumServices != null ->
          quorumServices.cold().receive(from, topic);
      default -> {
        // Not configured yet: the peer treats the message as lost.
      }
    }
  }

  /**
   * Returns permits to their owners and releases leases before a planned stop; voting continues.
   */
  public void stop() {
    if (quorumServices != null) {
      quorumServices.stop();
    }
  }

  /** Returns the membership view. */
  public MembershipQueries membership() {
    return membership;
  }

  /** Returns the commands that change the configuration version in force. */
  public VersionCommands versionCommands() {
    return versions;
  }

  /** Returns the queries of the configuration version in force. */
  public VersionQueries versions() {
    return versions;
  }

  /** Returns the commands of the quarantine of requests that crash upstreams. */
  public QuarantineCommands quarantineCommands() {
    return quarantine;
  }

  /** Returns the queries of the quarantine of requests that crash upstreams. */
  public QuarantineQueries quarantine() {
    return quarantine;
  }

  /** Returns the router; requires {@link #configure}. */
  public Router router() {
    requireConfigured();
    return router;
  }

  /** Returns the commands of the fleet-wide limits; requires {@link #configure}. */
  public LimitCommands limitCommands() {
    return requireConfigured().limits();
  }

  /** Returns the queries of the fleet-wide limits; requires {@link #configure}. */
  public LimitQueries limits() {
    return requireConfigured().limits();
  }

  /** Returns the commands of claims on non-idempotent requests; requires {@link #configure}. */
  public ClaimCommands claimCommands() {
    return requireConfigured().claims();
  }

  /** Returns the queries of claims; requires {@link #configure}. */
  public ClaimQueries claims() {
    return requireConfigured().claims();
  }

  /** Returns the queries of the owners of shards; requires {@link #configure}. */
  public LeaseQueries leases() {
    return requireConfigured().leases();
  }

  /** Returns the view of the admission to cold upstreams; requires {@link #configure}. */
  public AdmissionView admission() {
    return requireConfigured().cold().view();
  }

  /** Returns the orders to engines; requires {@link #configure}. */
  public Orders orders() {
    return requireConfigured().orders();
  }

  /**
   * Records that an upstream began to answer a request; called before the request releases its
   * slot.
   */
  public void recordAnswer(UpstreamId upstream, long firstTokenMillis) {
    requireConfigured().cold().recordAnswer(upstream, firstTokenMillis);
    breakers.recordOutcome(upstream, AttemptOutcome.ANSWERED);
  }

  /** Records that an upstream failed a request; called before the request releases its slot. */
  public void recordFailure(UpstreamId upstream) {
    requireConfigured().cold().recordFailure(upstream);
    breakers.recordOutcome(upstream, AttemptOutcome.FAILED);
  }

  /** Returns whether the constants of the fleet have been set. */
  public boolean isConfigured() {
    return quorumServices != null;
  }

  private QuorumServices requireConfigured() {
    if (quorumServices == null) {
      throw new IllegalStateException("configure must be called first");
    }
    return quorumServices;
  }

  private void adoptLists() {
    final boolean isFirst = adoptedListVersion == 0;
    for (VmList list : membership.recentLists()) {
      if (list.version() > adoptedListVersion) {
        adoptedListVersion = list.version();
        if (quorumServices != null) {
          quorumServices.adopt(list);
        }
        updateMembers();
      }
    }
    if (isFirst && adoptedListVersion > 0) {
      versions.start();
    }
  }

  private void updateMembers() {
    List<VmEntry> entries = membership.list().map(VmList::vms).orElse(List.of());
    List<VmId> live =
        entries.stream().filter(vm -> vm.state() == VmState.LIVE).map(VmEntry::id).toList();
    List<VmId> all = entries.stream().map(VmEntry::id).toList();
    int rank = live.indexOf(self);
    if (quorumServices != null) {
      quorumServices.cold().setMembers(live);
      quorumServices.cold().setListedVms(all);
      if (rank >= 0) {
        router.facts().fleet(live.size(), rank);
      }
    }
  }

  private Optional<VmId> quarantineOwner(Fingerprint fingerprint) {
    return quorumServices == null
        ? Optional.empty()
        : quorumServices.ownerOf("fingerprint/" + fingerprint);
  }
}
