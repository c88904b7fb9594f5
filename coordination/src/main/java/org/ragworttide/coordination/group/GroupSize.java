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

  /** Three voters, two of which decide, for fleets of fewer than five VMs. */
  public static final GroupSize THREE = new GroupSize(3, 2);

  /** Returns the size for a fleet of at most the given number of VMs. */
  public static GroupSize forFleetOf(int maxEntryVms) {
    return maxEntryVms < FIVE.voters() ? THREE : FIVE;
  }

  /** Checks that quorums overlap. */
  public GroupSize {
    if (quorum <= 0 || quorum > voters || 2 * quorum <= voters) {
      throw new IllegalArgumentException("quorum " + quorum + " of " + voters + " voters");
    }
  }
}
