package org.ragworttide.coordination.group;

import java.util.Objects;
import org.ragworttide.coordination.message.GroupMessage.Topic;

/**
 * Durations and bounds of one topic's voters, the same on all daemons of a fleet.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param topic the topic of the votes
 * @param size the size of the groups
 * @param windowMillis how long a collector of answers may count them, on its own clock
 * @param retentionMillis how long a vote binds, on the holder's clock
 * @param learnPeriodMillis the time between two requests of a voter that has yet to learn
 * @param maxVotes the maximum number of votes that a voter stores
 */
public record VoterSettings(
    Topic topic,
    GroupSize size,
    long windowMillis,
    long retentionMillis,
    long learnPeriodMillis,
    int maxVotes) {

  /** Checks that votes outlast the window in which they may be counted. */
  public VoterSettings {
    Objects.requireNonNull(topic, "topic");
    Objects.requireNonNull(size, "size");
    if (windowMillis <= 0 || retentionMillis < windowMillis) {
      throw new IllegalArgumentException("votes must outlast the collection window");
    }
    if (learnPeriodMillis <= 0 || maxVotes <= 0) {
      throw new IllegalArgumentException("learnPeriodMillis and maxVotes must be positive");
    }
  }

  /** Returns how long a process does not vote after its start. */
  public long quietMillis() {
    return ClockBound.stretchMillis(windowMillis);
  }

  /** Returns how long a voter keeps a vote, on its own clock. */
  public long keepMillis() {
    return ClockBound.stretchMillis(retentionMillis);
  }
}
