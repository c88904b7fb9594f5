package org.ragworttide.coordination.group;

/**
 * How many voters a group has at most and how many of them decide.
 *
 * <p>Invariants: two quorums of one group share a voter; the quorum is the same for smaller groups,
 * and all daemons of a fleet use the same size. Immutable, safe for use by any thread.
 *
 * @param voters the most voters of a group
 * @param quorum the votes needed
 */
public record GroupSize(int voters, int quorum) {
  /** Five voters, three of which decide. */
  public static final GroupSize FIVE = new GroupSize(5, 3);

  /** Checks that quorums overlap. */
  public GroupSize {
    if (quorum <= 0 || quorum > voters || 2 * quorum <= voters) {
      throw new IllegalArgumentException("quorum " + quorum + " of " + voters + " voters");
    }
  }
}
