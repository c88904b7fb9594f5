package org.ragworttide.coordination.claims;

import java.util.Objects;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.group.VoterSettings;
import org.ragworttide.coordination.message.GroupMessage.Topic;

/**
 * The times and bounds of the claims, the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param size the size of the groups
 * @param voteWindowMillis for how long a claimant may count votes
 * @param retentionMillis for how long a key stays claimed
 * @param tickMillis the time between two requests of a claim that is not decided
 * @param maxVotes the most votes that a voter keeps
 * @param maxClaims the most claims of this VM's own that are kept
 * @param maxAnswerBytes the most bytes of answers that are kept
 */
public record ClaimSettings(
    GroupSize size,
    long voteWindowMillis,
    long retentionMillis,
    long tickMillis,
    int maxVotes,
    int maxClaims,
    long maxAnswerBytes) {
  /** Claims for production. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(GroupSize.FIVE, 2_000, 600_000, 250, 100_000, 50_000, 32L << 20);

  /** Checks that a claim outlasts its decision. */
  public ClaimSettings {
    Objects.requireNonNull(size, "size");
    if (tickMillis <= 0 || voteWindowMillis < 2 * tickMillis) {
      throw new IllegalArgumentException("the window must last two ticks or more");
    }
    if (maxClaims <= 0 || maxAnswerBytes < 0) {
      throw new IllegalArgumentException("bounds must be positive");
    }
  }

  /** Returns how long a second arrival waits for the claimant's word. */
  public long statusMillis() {
    return voteWindowMillis;
  }

  /** Returns the settings of the voters for claims. */
  public VoterSettings voterSettings() {
    return new VoterSettings(
        Topic.CLAIM, size, voteWindowMillis, retentionMillis, 2 * tickMillis, maxVotes);
  }
}
