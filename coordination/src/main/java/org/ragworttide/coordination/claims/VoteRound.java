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
 * The votes of one attempt at a key.
 *
 * <p>Invariant: holds answers of one group under one list version, the last of each voter; a vote
 * that was granted in the attempt stays counted. Used on the coordination thread only.
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

  /** Returns the voters that have neither granted nor refused for good. */
  List<VmId> undecided() {
    return group.stream().filter(vm -> !isFinal(answers.get(vm))).toList();
  }

  private static boolean isFinal(VoteAnswer answer) {
    return answer != null && answer.vote() != Vote.NOT_INFORMED;
  }

  /** Counts an answer and tells whether the sender belongs to the group. */
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

  /** Returns the claimant that most voters hold the key for. */
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

  /** Tells whether the grants so far and all that may come are fewer than the quorum. */
  boolean isLost(int quorum) {
    return count(Vote.GRANTED) + undecided().size() < quorum;
  }
}
