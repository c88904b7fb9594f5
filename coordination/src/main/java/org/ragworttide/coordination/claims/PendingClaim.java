package org.ragworttide.coordination.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.message.ClaimMessage.Holder;

/**
 * Undecided claim of this VM, in one of its phases.
 *
 * <p>Invariant: votes are counted in the voting phase only. Used on the coordination thread only.
 */
final class PendingClaim {
  private final RequestKey key;
  private final List<Arrival> arrivals = new ArrayList<>();
  private long deadlineMillis;
  private Phase phase;

  PendingClaim(RequestKey key, Phase phase) {
    this.key = key;
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

  /** Adds an arrival and extends the deadline of the decision to the given time. */
  void add(Arrival arrival, long newDeadlineMillis) {
    arrivals.add(arrival);
    deadlineMillis = Math.max(deadlineMillis, newDeadlineMillis);
  }

  List<Arrival> arrivals() {
    return arrivals;
  }

  /** Removes and returns the arrivals whose time to follow the claimant is over. */
  List<Arrival> removeExpiredFollowers(long nowMillis) {
    List<Arrival> expired =
        arrivals.stream().filter(arrival -> arrival.followUntilMillis() <= nowMillis).toList();
    arrivals.removeAll(expired);
    return expired;
  }

  /**
   * Request for the key that arrived at this VM.
   *
   * @param followUntilMillis when to stop following the run of another claimant
   * @param decision receives one decision
   */
  record Arrival(long followUntilMillis, Consumer<ClaimDecision> decision) {

    void deliver(ClaimDecision result) {
      decision.accept(result);
    }
  }

  /** Phase of a pending claim, by what the claim waits for. */
  sealed interface Phase {

    /**
     * Waits for votes.
     *
     * @param round the round of votes
     */
    record Voting(VoteRound round) implements Phase {}

    /**
     * Waits for a status answer of the claimant that holds the key.
     *
     * @param holder the claimant
     * @param attempt the number of the status request
     * @param lastAnswerMillis the time of its last answer, or of the first status request
     */
    record AwaitingStatus(Holder holder, long attempt, long lastAnswerMillis) implements Phase {}

    /**
     * Waits before another round of votes.
     *
     * @param notBeforeMillis the earliest start of the round
     */
    record BackingOff(long notBeforeMillis) implements Phase {}
  }
}
