package org.ragworttide.coordination.limits;

import java.util.List;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Want;

/**
 * An ask whose answer may still come.
 *
 * <p>Invariant: permits of its answer count from the time before it was sent. Its waiting requests
 * are mutable; not safe for use by several threads.
 *
 * @param owner whom it went to
 * @param sentMillis when it was about to be sent
 * @param ask the message
 * @param wanted what each want is for, in the order of the ask
 */
record PendingAsk(VmId owner, long sentMillis, Ask ask, List<Wanted> wanted) {

  /**
   * What one want is for.
   *
   * @param account the organisation's account
   * @param part the part that is asked
   * @param waiters requests that wait
   * @param spareTokens tokens asked for beyond these
   */
  record Wanted(HolderAccount account, LimitPart part, List<Waiter> waiters, int spareTokens) {

    List<Long> requests() {
      return waiters.stream().map(Waiter::request).toList();
    }

    Want want() {
      return new Want(part.organisation(), part.index(), requests(), spareTokens);
    }

    int maxTokens() {
      return waiters.size() + spareTokens;
    }
  }
}
