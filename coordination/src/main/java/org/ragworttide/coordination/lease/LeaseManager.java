package org.ragworttide.coordination.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.group.AttemptNumbers;
import org.ragworttide.coordination.group.Ballot;
import org.ragworttide.coordination.group.GroupSelection;
import org.ragworttide.coordination.group.IgnoredMessages;
import org.ragworttide.coordination.group.IgnoredMessages.Reason;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.group.VoteResult;
import org.ragworttide.coordination.group.Voter;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.GroupMessage;
import org.ragworttide.coordination.message.GroupMessage.Topic;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LeaseMessage.OwnedShard;
import org.ragworttide.coordination.message.LeaseMessage.OwnerAnswer;
import org.ragworttide.coordination.message.LeaseMessage.OwnerRequest;
import org.ragworttide.coordination.message.LeaseMessage.Release;
import org.ragworttide.coordination.message.LeaseMessage.VoteAnswer;
import org.ragworttide.coordination.message.LeaseMessage.VoteRequest;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Acquires leases on shards by votes of their groups, and votes on the leases of other VMs.
 *
 * <p>Invariants: at most one VM owns a shard at a time, even if messages are lost or delayed or VMs
 * are paused or restarted; all state is kept in memory only. Used on the coordination thread only.
 */
public final class LeaseManager implements LeaseCommands, LeaseQueries {
  private static final String NO_KEY = "";
  private static final int HINT_TIME_TO_LIVE_LEASES = 2;

  private final Transport transport;
  private final Voter voter;
  private final Campaign campaign;
  private final OwnerHints hints;
  private final IgnoredMessages ignored = new IgnoredMessages();

  /** Creates a manager without leases or a VM list, from whose leases no rights are derived. */
  public LeaseManager(
      VmId self,
      Incarnation incarnation,
      TimerService timers,
      Transport transport,
      LeaseSettings settings) {
    this(self, incarnation, timers, transport, settings, RightsExpiry.NONE);
  }

  /** Creates a manager without leases or a VM list. */
  public LeaseManager(
      VmId self,
      Incarnation incarnation,
      TimerService timers,
      Transport transport,
      LeaseSettings settings,
      RightsExpiry rightsExpiry) {
    this.transport = transport;
    AttemptNumbers attempts = new AttemptNumbers(incarnation);
    this.voter = new Voter(self, attempts, timers, transport, settings.voterSettings(), ignored);
    VoteClient votes =
        new VoteClient(self, incarnation, transport, this::isGranted, this::releaseVotes);
    this.campaign = new Campaign(self, timers, settings, attempts, voter, votes, rightsExpiry);
    this.hints =
        new OwnerHints(self, timers, transport, HINT_TIME_TO_LIVE_LEASES * settings.leaseMillis());
    timers.every(settings.tickMillis(), this::tick);
  }

  private void tick() {
    voter.tick();
    campaign.tick();
    voter.groups().ifPresent(hints::tick);
  }

  /** Sets whether all VM lists so far come from peers and none from the platform. */
  public void setListsFromPeersOnly(boolean peersOnly) {
    voter.setListsFromPeersOnly(peersOnly);
  }

  @Override
  public void adopt(VmList list) {
    if (voter.adopt(list)) {
      campaign.onAdopted();
      hints.onAdopted(voter.groups().orElseThrow());
    }
  }

  @Override
  public void onMessage(VmId from, LeaseMessage message) {
    if (voter.groups().isEmpty() || voter.groups().get().list().find(from).isEmpty()) {
      ignored.count(Reason.UNKNOWN_SENDER);
      return;
    }
    switch (message) {
      case VoteRequest request -> onVoteRequest(from, request);
      case VoteAnswer answer -> campaign.onAnswer(from, answer).ifPresent(ignored::count);
      case Release release -> releaseVotes(from, release);
      case OwnerRequest request -> onOwnerRequest(from, request);
      case OwnerAnswer answer -> onOwnerAnswer(from, answer);
    }
  }

  private void onOwnerRequest(VmId from, OwnerRequest request) {
    List<OwnedShard> owned = new ArrayList<>();
    for (int number : request.shards()) {
      if (Shard.isNumber(number)) {
        voter
            .votedFor(new Shard(number), NO_KEY)
            .ifPresent(owner -> owned.add(new OwnedShard(number, owner)));
      } else {
        ignored.count(Reason.MALFORMED);
      }
    }
    transport.send(from, new OwnerAnswer(owned));
  }

  private void onOwnerAnswer(VmId from, OwnerAnswer answer) {
    GroupSelection groups = voter.groups().orElseThrow();
    boolean isValid =
        answer.owned().stream()
            .allMatch(
                reported ->
                    Shard.isNumber(reported.shard())
                        && groups.group(new Shard(reported.shard())).contains(from)
                        && groups.list().find(reported.owner()).isPresent());
    if (isValid) {
      hints.onReported(answer.owned());
    } else {
      ignored.count(Reason.MALFORMED);
    }
  }

  private void onVoteRequest(VmId from, VoteRequest request) {
    List<Integer> granted =
        request.shards().stream().filter(shard -> isGranted(from, request, shard)).toList();
    long version = voter.groups().orElseThrow().list().version();
    transport.send(from, new VoteAnswer(version, request.attempt(), granted));
  }

  private boolean isGranted(VmId from, VoteRequest request, int number) {
    if (!Shard.isNumber(number)) {
      ignored.count(Reason.MALFORMED);
      return false;
    }
    Shard shard = new Shard(number);
    if (!voter.groups().orElseThrow().group(shard).contains(from)) {
      ignored.count(Reason.UNKNOWN_SENDER);
      return false;
    }
    VoteResult result =
        voter.vote(
            new Ballot(
                shard, NO_KEY, from, request.incarnation(), request.version(), request.attempt()));
    return result instanceof VoteResult.Granted;
  }

  private void releaseVotes(VmId from, Release release) {
    for (int number : release.shards()) {
      if (Shard.isNumber(number)) {
        voter.release(new Shard(number), NO_KEY, from, release.incarnation(), release.attempt());
      } else {
        ignored.count(Reason.MALFORMED);
      }
    }
  }

  @Override
  public void onGroupMessage(VmId from, GroupMessage message) {
    if (message.topic() == Topic.LEASE) {
      voter.onMessage(from, message);
    }
  }

  @Override
  public void stop() {
    campaign.stop();
  }

  @Override
  public boolean isOwner(Shard shard) {
    return campaign.isOwner(shard.number());
  }

  @Override
  public long leaseExpiresAtMillis(Shard shard) {
    return campaign.expiresAtMillis(shard.number());
  }

  @Override
  public long ownedSinceMillis(Shard shard) {
    return campaign.ownedSinceMillis(shard.number());
  }

  @Override
  public Optional<VmId> ownerOf(Shard shard) {
    Optional<VmId> voted = voter.votedFor(shard, NO_KEY);
    return voted.isPresent()
        ? voted
        : voter.groups().flatMap(groups -> probableOwner(groups.group(shard), shard));
  }

  private Optional<VmId> probableOwner(List<VmId> group, Shard shard) {
    Optional<VmId> hinted = hints.find(shard.number());
    return hinted.isPresent() ? hinted : group.stream().findFirst();
  }

  @Override
  public List<Shard> owned() {
    return campaign.owned();
  }

  /** Returns whether this VM currently votes on the lease of the shard. */
  public boolean isInformed(Shard shard) {
    return voter.isInformed(shard);
  }

  /** Returns the counts of ignored messages. */
  public IgnoredMessages ignored() {
    return ignored;
  }
}
