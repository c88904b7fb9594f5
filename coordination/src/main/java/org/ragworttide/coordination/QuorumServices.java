package org.ragworttide.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.admission.AdmissionSettings;
import org.ragworttide.coordination.admission.ColdAdmission;
import org.ragworttide.coordination.admission.UpstreamWithoutLoadReports;
import org.ragworttide.coordination.claims.ClaimManager;
import org.ragworttide.coordination.claims.ClaimSettings;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.lease.LeaseManager;
import org.ragworttide.coordination.lease.LeaseSettings;
import org.ragworttide.coordination.limits.LimitSettings;
import org.ragworttide.coordination.limits.Limits;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.orders.Orders;
import org.ragworttide.coordination.time.TimerService;

/**
 * Services that depend on the votes of a quorum: leases; the limits, permits and orders that are
 * issued under leases; and claims.
 *
 * <p>Invariant: the votes for a lease that this daemon relinquishes are released only after every
 * permit issued under it has expired. Confined to the coordination thread.
 */
final class QuorumServices {
  private final TimerService time;
  private final LeaseManager leases;
  private final LeaseOwners owners;
  private final ClaimManager claims;
  private final Limits limits;
  private final ColdAdmission cold;
  private final EngineOrders engineOrders;
  private final int maxDaemons;

  QuorumServices(
      VmId self,
      Incarnation incarnation,
      TimerService time,
      Transport transport,
      FleetConstants constants) {
    this.time = time;
    this.maxDaemons = constants.maxEntryVms();
    GroupSize size = GroupSize.forFleetOf(constants.maxEntryVms());
    this.leases =
        new LeaseManager(
            self, incarnation, time, transport, leaseSettings(size), this::rightsExpireAtMillis);
    this.owners = new LeaseOwners(leases);
    this.claims =
        new ClaimManager(self, incarnation, time, transport, claimSettings(size, constants));
    LimitSettings limitSettings = LimitSettings.of(constants.maxEntryVms());
    this.limits = new Limits(self, incarnation, time, transport, owners, limitSettings);
    this.cold =
        new ColdAdmission(
            self, time, owners, transport, AdmissionSettings.DEFAULTS, incarnation.value());
    this.engineOrders = new EngineOrders(incarnation, time, leases, limits);
  }

  LeaseManager leases() {
    return leases;
  }

  ClaimManager claims() {
    return claims;
  }

  Limits limits() {
    return limits;
  }

  ColdAdmission cold() {
    return cold;
  }

  Orders orders() {
    return engineOrders.orders();
  }

  Optional<VmId> ownerOf(String resource) {
    return owners.ownerOf(resource);
  }

  void setListsFromPeersOnly(boolean peersOnly) {
    leases.setListsFromPeersOnly(peersOnly);
    claims.setListsFromPeersOnly(peersOnly);
  }

  void adopt(VmList list) {
    leases.adopt(list);
    claims.adopt(list);
    limits.replacePeers(list.vms().stream().map(VmEntry::id).toList());
  }

  void receive(VmId from, GroupMessage message) {
    leases.onGroupMessage(from, message);
    claims.onGroupMessage(from, message);
  }

  void apply(FleetPolicy policy) {
    limits.apply(EngineOrders.rates(policy));
    cold.setColdLimits(policy.coldLimits(), upstreamsWithoutLoadReports(policy));
    engineOrders.orders().apply(policy.orders());
  }

  private Map<UpstreamId, UpstreamWithoutLoadReports> upstreamsWithoutLoadReports(
      FleetPolicy policy) {
    Map<UpstreamId, UpstreamWithoutLoadReports> upstreams = new HashMap<>();
    policy
        .longestRunsMillis()
        .forEach(
            (id, millis) ->
                upstreams.put(
                    id,
                    UpstreamWithoutLoadReports.of(
                        policy.coldLimits().get(id), maxDaemons, millis)));
    return upstreams;
  }

  void stop() {
    limits.returnTokens();
    leases.stop();
  }

  private long rightsExpireAtMillis(Shard shard) {
    AdmissionSettings settings = AdmissionSettings.DEFAULTS;
    long coldPermitMillis =
        (long) (settings.permitMillis() * (1 + 2 * settings.clockRateTolerance()));
    return Math.max(limits.permitsExpireAtMillis(), time.nowMillis() + coldPermitMillis);
  }

  private static LeaseSettings leaseSettings(GroupSize size) {
    LeaseSettings defaults = LeaseSettings.DEFAULT;
    return new LeaseSettings(size, defaults.leaseMillis(), defaults.tickMillis());
  }

  private static ClaimSettings claimSettings(GroupSize size, FleetConstants constants) {
    ClaimSettings defaults = ClaimSettings.DEFAULT;
    return new ClaimSettings(
        size,
        defaults.voteWindowMillis(),
        constants.claimRetentionMillis(),
        defaults.tickMillis(),
        defaults.maxVotes(),
        defaults.maxClaims(),
        defaults.maxAnswerBytes());
  }
}
