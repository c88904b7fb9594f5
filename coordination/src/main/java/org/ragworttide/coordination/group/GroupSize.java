package org.ragworttide.coordination.group;

/**
 * Maximum number of voters in a group and the number of votes that form a quorum.
 *
 * <p>Invariants: two quorums of one group share a voter; the quorum is the same for smaller groups,
 * and all daemons of a fleet use the same size. Immutable, safe for use by any thread.
 *
 * @param voters the maximum number of voters in a group
 * @param quorum the number of votes needed for a decision
 */
public record GroupSize(int voters, int quorum) {
  /** Five voters with a quorum of three. */
  public static final GroupSize FIVE = new GroupSize(5, 3);

  /** Three voters with a quorum of two, for fleets of fewer than five VMs. */
  public static final GroupSize THREE = new GroupSize(3, 2);

  /** Returns the size for a fleet of at most the given number of VMs. */
  public static GroupSize forFleetOf(int maxEntryVms) {
    return maxEntryVms < FIVE.voters() ? THREE : FIVE;
  }

  /** Checks that quorums overlap. */
  public GroupSize {
    if (quorum <= 0 || quorum > voters || 2 * quorum <= voters) {
      throw new IllegalArgumentException("invalid quorum: " + quorum + " of " + voters + " voters");
    }
  }
}
