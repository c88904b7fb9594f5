package org.ragworttide.coordination.claims;

import java.util.function.Consumer;
import org.ragworttide.coordination.id.RequestKey;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.membership.VmList;
import org.ragworttide.coordination.message.ClaimAnswer;
import org.ragworttide.coordination.message.ClaimMessage;
import org.ragworttide.coordination.message.GroupMessage;

/**
 * Commands that change the state of claims.
 *
 * <p>Invariants: of all calls of {@link #claim} for a key on all daemons, at most one is granted
 * until the key's retention is over or {@link #releaseNotRun} releases the grant; each call
 * receives one decision. Used on the coordination thread only.
 */
public interface ClaimCommands {

  /** Claims a request and passes the decision to the callback, at once or later. */
  default void claim(RequestKey key, Consumer<ClaimDecision> decision) {
    claim(key, 0, decision);
  }

  /**
   * Claims a request; if another request already holds the key, follows that one until its end.
   *
   * @param key the key of the request
   * @param followMillis how long to follow a run on another daemon before the decision is {@link
   *     ClaimDecision.Running}, not negative
   * @param decision receives one decision
   */
  void claim(RequestKey key, long followMillis, Consumer<ClaimDecision> decision);

  /** Records the answer of a granted request for later arrivals. */
  void recordCompleted(RequestKey key, ClaimAnswer answer);

  /** Records that a granted request may have run and has no answer to keep. */
  void recordMayHaveRun(RequestKey key);

  /** Releases a granted request of which no byte has been or will be sent. */
  void releaseNotRun(RequestKey key);

  /** Adopts a list if it is newer than the adopted one. */
  void adopt(VmList list);

  /** Handles a message about claims. */
  void onMessage(VmId from, ClaimMessage message);

  /** Handles a message of the voter groups; ignores messages of other topics. */
  void onGroupMessage(VmId from, GroupMessage message);
}
