package org.ragworttide.coordination.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.ragworttide.coordination.group.GroupSelection;
import org.ragworttide.coordination.group.Shard;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LeaseMessage;
import org.ragworttide.coordination.message.LeaseMessage.Release;
import org.ragworttide.coordination.message.LeaseMessage.VoteRequest;
import org.ragworttide.coordination.message.Transport;

/**
 * Sends a candidate's requests to the voters, one message for many shards to each peer, and to the
 * voter of its own VM directly.
 *
 * <p>Stateless. Used on the coordination thread only.
 */
final class VotePort {
  private static final int MAX_SHARDS_PER_MESSAGE = 256;

  private final VmId self;
  private final Incarnation incarnation;
  private final Transport transport;
  private final OwnVote ownVote;
  private final BiConsumer<VmId, Release> ownRelease;

  VotePort(
      VmId self,
      Incarnation incarnation,
      Transport transport,
      OwnVote ownVote,
      BiConsumer<VmId, Release> ownRelease) {
    this.self = self;
    this.incarnation = incarnation;
    this.transport = transport;
    this.ownVote = ownVote;
    this.ownRelease = ownRelease;
  }

  /** Asks the voters of the shards and returns the shards for which this VM's own voter votes. */
  List<Integer> request(GroupSelection groups, long attempt, List<Integer> shards) {
    long version = groups.list().version();
    Map<VmId, List<Integer>> byPeer = shardsByVoter(groups, shards);
    List<Integer> own = byPeer.getOrDefault(self, List.of());
    byPeer.forEach(
        (peer, some) ->
            send(peer, some, part -> new VoteRequest(version, attempt, incarnation, part)));
    VoteRequest request = new VoteRequest(version, attempt, incarnation, own);
    return own.stream().filter(shard -> ownVote.isGranted(self, request, shard)).toList();
  }

  /** Lets the voters forget their votes of the attempt and earlier ones. */
  void release(GroupSelection groups, long attempt, List<Integer> shards) {
    Map<VmId, List<Integer>> byPeer = shardsByVoter(groups, shards);
    byPeer.forEach(
        (peer, some) -> send(peer, some, part -> new Release(attempt, incarnation, part)));
    ownRelease.accept(
        self, new Release(attempt, incarnation, byPeer.getOrDefault(self, List.of())));
  }

  private static Map<VmId, List<Integer>> shardsByVoter(
      GroupSelection groups, List<Integer> shards) {
    Map<VmId, List<Integer>> byPeer = new TreeMap<>();
    for (int shard : shards) {
      for (VmId voter : groups.group(new Shard(shard))) {
        byPeer.computeIfAbsent(voter, any -> new ArrayList<>()).add(shard);
      }
    }
    return byPeer;
  }

  private void send(VmId peer, List<Integer> shards, MessageOf message) {
    for (int from = 0; from < shards.size() && !peer.equals(self); from += MAX_SHARDS_PER_MESSAGE) {
      int to = Math.min(shards.size(), from + MAX_SHARDS_PER_MESSAGE);
      transport.send(peer, message.with(shards.subList(from, to)));
    }
  }

  /** Asks the voter of this VM. */
  @FunctionalInterface
  interface OwnVote {
    boolean isGranted(VmId self, VoteRequest request, int shard);
  }

  @FunctionalInterface
  private interface MessageOf {
    LeaseMessage with(List<Integer> shards);
  }
}
