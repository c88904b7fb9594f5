package org.ragworttide.coordination.claims;

import java.util.Objects;
import org.ragworttide.coordination.group.GroupSize;
import org.ragworttide.coordination.group.VoterSettings;
import org.ragworttide.coordination.message.GroupMessage.Topic;

/**
 * Settings of claims, the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param size the size of the voter groups
 * @param voteWindowMillis how long a claimant may count the votes of a round
 * @param retentionMillis how long a key stays claimed
 * @param tickMillis the interval between repeated messages for an undecided claim
 * @param maxVotes the maximum number of votes that a voter keeps
 * @param maxClaims the maximum number of this VM's own claims that are kept
 * @param maxAnswerBytes the maximum number of bytes of answers that are kept
 */
public record ClaimSettings(
    GroupSize size,
    long voteWindowMillis,
    long retentionMillis,
    long tickMillis,
    int maxVotes,
    int maxClaims,
    long maxAnswerBytes) {
  /** Settings for production. */
  public static final ClaimSettings DEFAULT =
      new ClaimSettings(GroupSize.FIVE, 2_000, 600_000, 250, 100_000, 50_000, 32L << 20);

  /** Checks the bounds and that the vote window spans at least two ticks. */
  public ClaimSettings {
    Objects.requireNonNull(size, "size");
    if (tickMillis <= 0 || voteWindowMillis < 2 * tickMillis) {
      throw new IllegalArgumentException(
          "voteWindowMillis must be at least twice tickMillis, which must be positive");
    }
    if (maxClaims <= 0 || maxAnswerBytes < 0) {
      throw new IllegalArgumentException("maxClaims must be positive, maxAnswerBytes not negative");
    }
  }

  /** Returns how long a later arrival waits for a status answer of the claimant. */
  public long statusMillis() {
    return voteWindowMillis;
  }

  /** Returns the settings of the voters for claims. */
  public VoterSettings voterSettings() {
    return new VoterSettings(
        Topic.CLAIM, size, voteWindowMillis, retentionMillis, 2 * tickMillis, maxVotes);
  }
}
