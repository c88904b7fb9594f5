package org.ragworttide.coordination.claims;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.ClaimMessage.Holder;
import org.ragworttide.coordination.message.ClaimMessage.Vote;
import org.ragworttide.coordination.message.ClaimMessage.VoteAnswer;

/**
 * Votes of one attempt to claim a key.
 *
 * <p>Invariant: all answers belong to one group and one list version, and one answer of each voter
 * is kept: its first final one, or its last one until then, so that a granted vote stays counted.
 * Used on the coordination thread only.
 */
final class VoteRound {
  private final long version;
  private final long attempt;
  private final long startedAtMillis;
  private final List<VmId> group;
  private final Map<VmId, VoteAnswer> answers = new HashMap<>();

  VoteRound(long version, long attempt, long startedAtMillis, List<VmId> group) {
    this.version = version;
    this.attempt = attempt;
    this.startedAtMillis = startedAtMillis;
    this.group = group;
  }

  long version() {
    return version;
  }

  long attempt() {
    return attempt;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  /** Returns the voters that have not yet sent a final vote. */
  List<VmId> undecidedVoters() {
    return group.stream().filter(vm -> !isFinal(answers.get(vm))).toList();
  }

  private static boolean isFinal(VoteAnswer answer) {
    return answer != null && answer.vote() != Vote.NOT_INFORMED;
  }

  /** Counts an answer; returns whether the sender belongs to the group. */
  boolean count(VmId from, VoteAnswer answer) {
    if (!group.contains(from)) {
      return false;
    }
    if (!isFinal(answers.get(from))) {
      answers.put(from, answer);
    }
    return true;
  }

  long count(Vote vote) {
    return answers.values().stream().filter(answer -> answer.vote() == vote).count();
  }

  /** Returns the claimant that holds the key according to most voters. */
  Optional<Holder> holder() {
    Map<Holder, Integer> counts = new HashMap<>();
    answers.values().stream()
        .filter(answer -> answer.vote() == Vote.HELD)
        .flatMap(answer -> answer.holder().stream())
        .forEach(holder -> counts.merge(holder, 1, Integer::sum));
    return counts.entrySet().stream()
        .max(
            Map.Entry.<Holder, Integer>comparingByValue()
                .thenComparing(entry -> entry.getKey().vm()))
        .map(Map.Entry::getKey);
  }

  /** Returns whether the grants so far and all undecided votes are fewer than the quorum. */
  boolean isQuorumImpossible(int quorum) {
    return count(Vote.GRANTED) + undecidedVoters().size() < quorum;
  }
}
