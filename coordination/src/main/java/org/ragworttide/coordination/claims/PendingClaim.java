package org.ragworttide.coordination.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.message.ClaimMessage.Holder;

/**
 * A claim on this VM that is not decided, in one of its phases.
 *
 * <p>Invariant: votes are counted in the voting phase only. Used on the coordination thread only.
 */
final class PendingClaim {
  private final RequestKey key;
  private final long deadlineMillis;
  private final List<Consumer<ClaimDecision>> arrivals = new ArrayList<>();
  private Phase phase;

  PendingClaim(RequestKey key, long deadlineMillis, Phase phase) {
    this.key = key;
    this.deadlineMillis = deadlineMillis;
    this.phase = phase;
  }

  RequestKey key() {
    return key;
  }

  long deadlineMillis() {
    return deadlineMillis;
  }

  Phase phase() {
    return phase;
  }

  void enter(Phase next) {
    phase = next;
  }

  void add(Consumer<ClaimDecision> arrival) {
    arrivals.add(arrival);
  }

  List<Consumer<ClaimDecision>> arrivals() {
    return arrivals;
  }

  /** What a pending claim is waiting for. */
  sealed interface Phase {

    /**
     * Votes.
     *
     * @param round the votes so far
     */
    record Voting(VoteRound round) implements Phase {}

    /**
     * The word of the claimant that holds the key.
     *
     * @param holder the claimant
     * @param attempt the number of the question
     * @param sinceMillis when it was asked first
     */
    record Asking(Holder holder, long attempt, long sinceMillis) implements Phase {}

    /**
     * Another round of votes.
     *
     * @param notBeforeMillis when it may begin
     */
    record Pausing(long notBeforeMillis) implements Phase {}
  }
}
