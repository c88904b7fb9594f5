package org.ragworttide.coordination.group;

import java.util.Objects;
import org.ragworttide.coordination.message.GroupMessage.Topic;

/**
 * The times and bounds of one topic's voters, the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param topic what the votes are for
 * @param size the size of the groups
 * @param windowMillis for how long whoever collects answers may count them, on its own clock
 * @param retentionMillis for how long a vote binds, on the holder's clock
 * @param learnPeriodMillis the time between two requests of a voter that has yet to learn
 * @param maxVotes the most votes that a voter keeps
 */
public record VoterSettings(
    Topic topic,
    GroupSize size,
    long windowMillis,
    long retentionMillis,
    long learnPeriodMillis,
    int maxVotes) {

  /** Checks that votes outlast the time in which they may be counted. */
  public VoterSettings {
    Objects.requireNonNull(topic, "topic");
    Objects.requireNonNull(size, "size");
    if (windowMillis <= 0 || retentionMillis < windowMillis) {
      throw new IllegalArgumentException("votes must outlast the collection window");
    }
    if (learnPeriodMillis <= 0 || maxVotes <= 0) {
      throw new IllegalArgumentException("period and bound must be positive");
    }
  }

  /** Returns for how long a process that has just started does not vote. */
  public long quietMillis() {
    return ClockBound.stretchMillis(windowMillis);
  }

  /** Returns for how long a voter keeps a vote on its own clock. */
  public long keepMillis() {
    return ClockBound.stretchMillis(retentionMillis);
  }
}
