package org.ragworttide.coordination.limits;

import java.util.List;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Want;

/**
 * Ask whose answer may still arrive.
 *
 * <p>Invariant: the permits in its answer are valid for their duration from {@code sentMillis}, a
 * time before the ask was sent. The waiting requests are mutable; not safe for use by several
 * threads.
 *
 * @param owner the VM that receives the ask
 * @param sentMillis the time just before the ask was sent
 * @param ask the message
 * @param wanted the wants with their accounts and waiting requests, in the order of the ask
 */
record PendingAsk(VmId owner, long sentMillis, Ask ask, List<Wanted> wanted) {

  /**
   * One want, with the account and the waiting requests for which it was sent.
   *
   * @param account the account of the organisation
   * @param part the requested part
   * @param waiters the waiting requests
   * @param spareTokens tokens requested in addition to those for the waiting requests
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
