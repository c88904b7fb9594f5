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
 * Sends a candidate's vote requests and releases to the voters, with many shards per message to a
 * peer, and calls the voter of its own VM directly.
 *
 * <p>Stateless. Used on the coordination thread only.
 */
final class VoteClient {
  private static final int MAX_SHARDS_PER_MESSAGE = 256;

  private final VmId self;
  private final Incarnation incarnation;
  private final Transport transport;
  private final LocalVoter localVoter;
  private final BiConsumer<VmId, Release> localRelease;

  VoteClient(
      VmId self,
      Incarnation incarnation,
      Transport transport,
      LocalVoter localVoter,
      BiConsumer<VmId, Release> localRelease) {
    this.self = self;
    this.incarnation = incarnation;
    this.transport = transport;
    this.localVoter = localVoter;
    this.localRelease = localRelease;
  }

  /** Requests votes for the shards and returns the shards for which the voter of this VM votes. */
  List<Integer> request(GroupSelection groups, long attempt, List<Integer> shards) {
    long version = groups.list().version();
    Map<VmId, List<Integer>> byPeer = shardsByVoter(groups, shards);
    List<Integer> localShards = byPeer.getOrDefault(self, List.of());
    byPeer.forEach(
        (peer, peerShards) ->
            send(peer, peerShards, batch -> new VoteRequest(version, attempt, incarnation, batch)));
    VoteRequest request = new VoteRequest(version, attempt, incarnation, localShards);
    return localShards.stream()
        .filter(shard -> localVoter.isGranted(self, request, shard))
        .toList();
  }

  /** Releases the votes for the shards that were cast in the given attempt or an earlier one. */
  void release(GroupSelection groups, long attempt, List<Integer> shards) {
    Map<VmId, List<Integer>> byPeer = shardsByVoter(groups, shards);
    byPeer.forEach(
        (peer, peerShards) ->
            send(peer, peerShards, batch -> new Release(attempt, incarnation, batch)));
    localRelease.accept(
        self, new Release(attempt, incarnation, byPeer.getOrDefault(self, List.of())));
  }

  private static Map<VmId, List<Integer>> shardsByVoter(
      GroupSelection groups, List<Integer> shards) {
    Map<VmId, List<Integer>> byPeer = new TreeMap<>();
    for (int shard : shards) {
      for (VmId voter : groups.group(new Shard(shard))) {
        byPeer.computeIfAbsent(voter, key -> new ArrayList<>()).add(shard);
      }
    }
    return byPeer;
  }

  private void send(VmId peer, List<Integer> shards, MessageFactory factory) {
    for (int from = 0; from < shards.size() && !peer.equals(self); from += MAX_SHARDS_PER_MESSAGE) {
      int to = Math.min(shards.size(), from + MAX_SHARDS_PER_MESSAGE);
      transport.send(peer, factory.create(shards.subList(from, to)));
    }
  }

  /** Requests a vote from the voter of this VM. */
  @FunctionalInterface
  interface LocalVoter {
    boolean isGranted(VmId self, VoteRequest request, int shard);
  }

  @FunctionalInterface
  private interface MessageFactory {
    LeaseMessage create(List<Integer> shards);
  }
}
