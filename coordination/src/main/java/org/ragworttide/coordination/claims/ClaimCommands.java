package org.ragworttide.coordination.claims;

import java.util.function.Consumer;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;

/**
 * Changes the state of the claims.
 *
 * <p>Invariants: of all calls of {@link #claim} for a key on all daemons, one is told that it is
 * granted until the key's retention is over or the grant was given up by {@link #notRun}; each call
 * is told one decision. Used on the coordination thread only.
 */
public interface ClaimCommands {

  /** Claims a request and tells the decision, at once or later. */
  default void claim(RequestKey key, Consumer<ClaimDecision> decision) {
    claim(key, 0, decision);
  }

  /**
   * Claims a request and follows the one that holds the key already, until it has ended.
   *
   * @param key names the request
   * @param followMillis how long a run on another daemon is followed before this arrival is told
   *     that it is running, not negative
   * @param decision told once
   */
  void claim(RequestKey key, long followMillis, Consumer<ClaimDecision> decision);

  /** Notes the answer of a granted request, for later arrivals. */
  void completed(RequestKey key, ClaimAnswer answer);

  /** Notes that a granted request may have run and has no answer to hold. */
  void mayHaveRun(RequestKey key);

  /** Gives up a granted request of which no byte has left and none will. */
  void notRun(RequestKey key);

  /** Adopts a list if it is newer than the adopted one. */
  void adopt(VmList list);

  /** Takes a message on claims. */
  void onMessage(VmId from, ClaimMessage message);

  /** Takes a message of the groups of voters; those of other topics are left alone. */
  void onGroupMessage(VmId from, GroupMessage message);
}
