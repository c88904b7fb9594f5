package org.ragworttide.coordination.group;

import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;

/**
 * Answer of a voter to a request for its vote.
 *
 * <p>Immutable, safe for use by any thread.
 */
public sealed interface VoteResult {

  /** The voter has voted for the VM that requested the vote. */
  record Granted() implements VoteResult {}

  /**
   * The voter has voted for another holder.
   *
   * @param holder the VM that the vote is for
   * @param incarnation the run of the holder's process
   */
  record Held(VmId holder, Incarnation incarnation) implements VoteResult {}

  /** The voter knows votes for several holders. */
  record Contested() implements VoteResult {}

  /** The voter may not vote now, or not under this list. */
  record NotInformed() implements VoteResult {}

  /** The voter has no memory left for another vote. */
  record Full() implements VoteResult {}
}
