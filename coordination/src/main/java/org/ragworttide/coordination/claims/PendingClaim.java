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

  /** Adds an arrival that is to be told a decision before the given time. */
  void add(Arrival arrival, long newDeadlineMillis) {
    arrivals.add(arrival);
    deadlineMillis = Math.max(deadlineMillis, newDeadlineMillis);
  }

  List<Arrival> arrivals() {
    return arrivals;
  }

  /** Removes and returns the arrivals that follow the claimant no longer. */
  List<Arrival> removeDone(long nowMillis) {
    List<Arrival> done =
        arrivals.stream().filter(arrival -> arrival.followUntilMillis() <= nowMillis).toList();
    arrivals.removeAll(done);
    return done;
  }

  /**
   * One request for the key at this VM.
   *
   * @param followUntilMillis until when the run of another claimant is followed
   * @param decision told once
   */
  record Arrival(long followUntilMillis, Consumer<ClaimDecision> decision) {

    void tell(ClaimDecision told) {
      decision.accept(told);
    }
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
     * @param heardMillis when it answered last, or was asked first
     */
    record Asking(Holder holder, long attempt, long heardMillis) implements Phase {}

    /**
     * Another round of votes.
     *
     * @param notBeforeMillis when it may begin
     */
    record Pausing(long notBeforeMillis) implements Phase {}
  }
}
