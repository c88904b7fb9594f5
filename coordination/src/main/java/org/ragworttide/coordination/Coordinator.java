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
 * <p>The embedder feeds in peers' messages, the platform's lists and reports, and asks for
 * decisions. Limits, claims and leases exist from {@link #configure} on; messages on them are
 * dropped before, which peers take for a lost message.
 *
 * <p>Invariant: a message reaches exactly the part of its topic. Confined to the coordination
 * thread, on which the timer service calls back too.
 */
public final class Coordinator {
  private static final double SOFT_PART = 0.4;
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
  private SharedRights rights;
  private long adoptedVersion;
  private boolean platformRead;

  /**
   * Creates the coordination of one daemon, without any list and any configuration.
   *
   * @param self this VM
   * @param incarnation this run of the process
   * @param time the timer service
   * @param transport sends to peers
   * @param host validates configuration versions and puts them in force
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
        new Quarantine(self, time, transport, membership, this::decider, random.split());
    this.routing = routing;
    this.breakers = new CircuitBreakers(time, BreakerSettings.DEFAULTS, random.nextLong());
  }

  /** Gives the constants of the fleet; the first call counts. */
  public void configure(FleetConstants constants) {
    if (rights == null) {
      rights = new SharedRights(self, incarnation, time, transport, constants);
      double load = constants.loadMultiple();
      double soft = 1 + SOFT_PART * (load - 1);
      router =
          new Router(
              time,
              routing.withMultiples(soft, load),
              UpstreamGate.all(List.of(rights.cold(), breakers)));
      rights.listsFromPeersOnly(!platformRead);
      membership.recentLists().forEach(rights::adopt);
      tellMembers();
    }
  }

  /** Puts a configuration version's policy in force, at once in all parts. */
  public void apply(FleetPolicy policy) {
    configured().apply(policy);
    router.facts().upstreams(policy.upstreams());
    router.facts().zones(policy.zones());
  }

  /** Takes in a list that the platform published. */
  public void offer(VmList list) {
    platformRead = true;
    if (rights != null) {
      rights.listsFromPeersOnly(false);
    }
    membership.offer(list);
    adoptLists();
  }

  /** Takes in an engine's published load. */
  public void load(LoadReport report) {
    if (rights != null) {
      router.facts().load(report);
      long load = report.running() + report.waiting();
      // Admission must not take a load from before a cold turn for one from after it.
      long earliest = report.measuredAtMillis() - MAX_REPORT_LAG_MILLIS;
      rights.cold().report(report.upstream(), report.incarnation(), earliest, load);
    }
  }

  /** Takes in a message of a peer. */
  public void receive(VmId from, PeerMessage message) {
    switch (message) {
      case MembershipMessage topic -> {
        membership.receive(from, topic);
        adoptLists();
      }
      case VersionMessage topic -> versions.receive(from, topic);
      case QuarantineMessage topic -> quarantine.receive(from, topic);
      case GroupMessage topic when rights != null -> rights.receive(from, topic);
      case LeaseMessage topic when rights != null -> rights.leases().onMessage(from, topic);
      case ClaimMessage topic when rights != null -> rights.claims().onMessage(from, topic);
      case LimitMessage topic when rights != null -> rights.limits().receive(from, topic);
      case AdmissionMessage topic when rights != null -> rights.cold().receive(from, topic);
      default -> {
        // Not configured yet: to the peer the message is lost.
      }
    }
  }

  /** Gives back permits and leases, before a planned stop; voting goes on. */
  public void stop() {
    if (rights != null) {
      rights.stop();
    }
  }

  /** Returns the view of the fleet. */
  public MembershipQueries membership() {
    return membership;
  }

  /** Returns what changes the configuration version in force. */
  public VersionCommands versionCommands() {
    return versions;
  }

  /** Returns what is known of configuration versions. */
  public VersionQueries versions() {
    return versions;
  }

  /** Returns the quarantine of requests that crash upstreams. */
  public QuarantineCommands quarantineCommands() {
    return quarantine;
  }

  /** Returns what is known of requests that crash upstreams. */
  public QuarantineQueries quarantine() {
    return quarantine;
  }

  /** Returns the router; only once configured. */
  public Router router() {
    configured();
    return router;
  }

  /** Returns the fleet-wide limits; only once configured. */
  public LimitCommands limitCommands() {
    return configured().limits();
  }

  /** Returns what is known of the limits; only once configured. */
  public LimitQueries limits() {
    return configured().limits();
  }

  /** Returns the claims on non-idempotent requests; only once configured. */
  public ClaimCommands claimCommands() {
    return configured().claims();
  }

  /** Returns what is known of claims; only once configured. */
  public ClaimQueries claims() {
    return configured().claims();
  }

  /** Returns who owns which shard; only once configured. */
  public LeaseQueries leases() {
    return configured().leases();
  }

  /** Returns what is known of cold upstreams; only once configured. */
  public AdmissionView admission() {
    return configured().cold().view();
  }

  /** Returns the orders to engines; only once configured. */
  public Orders orders() {
    return configured().orders();
  }

  /** Notes that an upstream began to answer a request; called before its slot is released. */
  public void answered(UpstreamId upstream, long firstTokenMillis) {
    configured().cold().answered(upstream, firstTokenMillis);
    breakers.outcome(upstream, AttemptOutcome.ANSWERED);
  }

  /** Notes that an upstream failed a request; called before its slot is released. */
  public void failed(UpstreamId upstream) {
    configured().cold().failed(upstream);
    breakers.outcome(upstream, AttemptOutcome.FAILED);
  }

  /** Returns whether the constants of the fleet are known. */
  public boolean isConfigured() {
    return rights != null;
  }

  private SharedRights configured() {
    if (rights == null) {
      throw new IllegalStateException("not configured yet");
    }
    return rights;
  }

  private void adoptLists() {
    final boolean first = adoptedVersion == 0;
    for (VmList list : membership.recentLists()) {
      if (list.version() > adoptedVersion) {
        adoptedVersion = list.version();
        if (rights != null) {
          rights.adopt(list);
        }
        tellMembers();
      }
    }
    if (first && adoptedVersion > 0) {
      versions.start();
    }
  }

  private void tellMembers() {
    List<VmEntry> entries = membership.list().map(VmList::vms).orElse(List.of());
    List<VmId> live =
        entries.stream().filter(vm -> vm.state() == VmState.LIVE).map(VmEntry::id).toList();
    List<VmId> all = entries.stream().map(VmEntry::id).toList();
    int rank = live.indexOf(self);
    if (rights != null) {
      rights.cold().members(live);
      rights.cold().listed(all);
      if (rank >= 0) {
        router.facts().fleet(live.size(), rank);
      }
    }
  }

  private Optional<VmId> decider(Fingerprint fingerprint) {
    return rights == null ? Optional.empty() : rights.ownerOf("fingerprint/" + fingerprint);
  }
}
