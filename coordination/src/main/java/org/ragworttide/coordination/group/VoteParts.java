package org.ragworttide.coordination.group;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.message.GroupMessage.KnownVote;
import org.ragworttide.coordination.message.GroupMessage.ShardVotes;

/** Splits a voter's votes into messages of bounded size; stateless. */
final class VoteParts {
  private static final int MAX_VOTES_PER_PART = 64;
  private static final int MAX_WEIGHT_PER_MESSAGE = 128;

  private VoteParts() {}

  /** Splits the votes of a shard into one or more parts. */
  static List<ShardVotes> split(int shard, List<KnownVote> votes) {
    int parts = Math.max(1, (votes.size() + MAX_VOTES_PER_PART - 1) / MAX_VOTES_PER_PART);
    List<ShardVotes> split = new ArrayList<>(parts);
    for (int part = 0; part < parts; part++) {
      int start = part * MAX_VOTES_PER_PART;
      int end = Math.min(votes.size(), start + MAX_VOTES_PER_PART);
      split.add(new ShardVotes(shard, part, parts, votes.subList(start, end)));
    }
    return split;
  }

  /** Groups parts into messages. */
  static List<List<ShardVotes>> batch(List<ShardVotes> parts) {
    List<List<ShardVotes>> messages = new ArrayList<>();
    int weight = MAX_WEIGHT_PER_MESSAGE;
    for (ShardVotes part : parts) {
      if (weight + 1 + part.votes().size() > MAX_WEIGHT_PER_MESSAGE) {
        messages.add(new ArrayList<>());
        weight = 0;
      }
      messages.getLast().add(part);
      weight += 1 + part.votes().size();
    }
    return messages;
  }
}
