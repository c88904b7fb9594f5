package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Answer;

/**
 * Asks whose answers may still arrive, by their identifiers.
 *
 * <p>Invariant: at most one answer is accepted for each ask, and only from the VM that received the
 * ask. Not safe for use by several threads.
 */
final class PendingAsks {
  private final Map<Long, PendingAsk> asks = new HashMap<>();

  void add(PendingAsk ask) {
    asks.put(ask.ask().askId(), ask);
  }

  boolean isPending(PendingAsk ask) {
    return asks.containsKey(ask.ask().askId());
  }

  /** Removes and returns the ask that the answer matches, if there is one. */
  Optional<PendingAsk> take(VmId from, Answer answer) {
    PendingAsk ask = asks.get(answer.askId());
    if (ask == null || !ask.owner().equals(from) || ask.wanted().size() != answer.grants().size()) {
      return Optional.empty();
    }
    asks.remove(answer.askId());
    return Optional.of(ask);
  }

  /** Removes the asks that were sent before the given time. */
  void removeSentBefore(long millis) {
    asks.values().removeIf(ask -> ask.sentMillis() < millis);
  }
}
