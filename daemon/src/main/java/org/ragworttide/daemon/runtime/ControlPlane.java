package org.ragworttide.daemon.runtime;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ragworttide.coordination.admission.AdmissionSettings;
import org.ragworttide.coordination.admission.ColdAdmission;
import org.ragworttide.coordination.id.Fingerprint;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.limits.LimitSettings;
import org.ragworttide.coordination.limits.Limits;
import org.ragworttide.coordination.limits.RateLimit;
import org.ragworttide.coordination.membership.Membership;
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
import org.ragworttide.coordination.quarantine.Quarantine;
import org.ragworttide.coordination.routing.LoadReport;
import org.ragworttide.coordination.routing.Router;
import org.ragworttide.coordination.routing.RouterSettings;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.coordination.versions.VersionHost;
import org.ragworttide.coordination.versions.Versions;
import org.ragworttide.document.ConfigurationDocument;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Upstream;
import org.ragworttide.document.ConfigurationDocument.UpstreamKind;

/**
 * The coordination parts of one daemon, joined by their messages and facts.
 *
 * <p>Invariant: a message reaches exactly the part of its topic. Confined to the coordination
 * thread.
 */
final class ControlPlane {
  private final VmId self;
  private final TimerService time;
  private final Incarnation incarnation;
  private final Transport transport;
  private final Owners owners;
  private final Membership membership;
  private final Versions versions;
  private final Quarantine quarantine;
  private final ColdAdmission coldAdmission;
  private final Router router;
  private Limits limits;

  ControlPlane(
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
    this.owners = new Owners(self, time);
    SplittableRandom random = new SplittableRandom(incarnation.value());
    this.membership = new Membership(self, incarnation, time, transport, random.split());
    this.versions = new Versions(self, time, transport, membership, host, random.split());
    this.quarantine =
        new Quarantine(self, time, transport, membership, this::decider, random.split());
    this.coldAdmission =
        new ColdAdmission(
            self, time, owners, transport, AdmissionSettings.DEFAULTS, random.nextLong());
    this.router = new Router(time, routing, coldAdmission);
  }

  Membership membership() {
    return membership;
  }

  Versions versions() {
    return versions;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  ColdAdmission coldAdmission() {
    return coldAdmission;
  }

  Router router() {
    return router;
  }

  /** Returns the limits, which exist once there is a configuration. */
  Limits limits() {
    return limits;
  }

  /** Takes in a message of a peer. */
  void receive(VmId from, PeerMessage message) {
    switch (message) {
      case MembershipMessage topic -> receiveMembership(from, topic);
      case VersionMessage topic -> versions.receive(from, topic);
      case QuarantineMessage topic -> quarantine.receive(from, topic);
      case AdmissionMessage topic -> coldAdmission.receive(from, topic);
      case LimitMessage topic -> {
        if (limits != null) {
          limits.receive(from, topic);
        }
      }
      case GroupMessage topic -> {}
      case LeaseMessage topic -> {}
      case ClaimMessage topic -> {}
    }
  }

  /** Takes in a list that the platform published. */
  void offer(VmList list) {
    boolean first = membership.list().isEmpty();
    membership.offer(list);
    membersChanged();
    if (first && membership.list().isPresent()) {
      versions.start();
    }
  }

  /** Takes in a configuration as read from the platform. */
  void offer(long version, byte[] document) {
    versions.offer(version, document);
  }

  /** Takes in the load of an engine. */
  void load(LoadReport report) {
    router.facts().load(report);
    coldAdmission.report(
        report.upstream(),
        report.incarnation(),
        report.measuredAtMillis(),
        report.running() + report.waiting());
  }

  /** Puts a configuration in force in all parts. */
  void apply(ConfigurationDocument document) {
    if (limits == null) {
      LimitSettings settings = LimitSettings.of(document.fleet().maxEntryVms());
      limits = new Limits(self, incarnation, time, transport, owners, settings);
    }
    limits.apply(rates(document));
    coldAdmission.coldLimits(coldLimits(document));
  }

  private void receiveMembership(VmId from, MembershipMessage message) {
    Optional<VmList> before = membership.list();
    membership.receive(from, message);
    if (!before.equals(membership.list())) {
      membersChanged();
    }
  }

  private void membersChanged() {
    membership
        .list()
        .ifPresent(
            list -> {
              List<VmId> live = live(list);
              owners.members(live);
              coldAdmission.members(live);
              int rank = live.indexOf(self);
              if (rank >= 0) {
                router.facts().fleet(live.size(), rank);
              }
            });
  }

  private Optional<VmId> decider(Fingerprint fingerprint) {
    return owners.ownerOf("fingerprint/" + fingerprint);
  }

  private static List<VmId> live(VmList list) {
    return list.vms().stream().filter(vm -> vm.state() == VmState.LIVE).map(VmEntry::id).toList();
  }

  private static Map<OrganisationId, RateLimit> rates(ConfigurationDocument document) {
    Map<OrganisationId, RateLimit> rates = new HashMap<>();
    for (Organisation organisation : document.organisations()) {
      rates.put(
          new OrganisationId(organisation.id()),
          new RateLimit(organisation.ratePerSecond(), organisation.burst()));
    }
    return rates;
  }

  private static Map<UpstreamId, Integer> coldLimits(ConfigurationDocument document) {
    Map<UpstreamId, Integer> limits = new HashMap<>();
    for (Upstream upstream : document.upstreams()) {
      // Plain services publish no load, without which warmth can't be told.
      if (upstream.kind() == UpstreamKind.ENGINE) {
        limits.put(new UpstreamId(upstream.id()), upstream.coldConcurrency());
      }
    }
    return limits;
  }
}
