package org.ragworttide.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Answer;

/**
 * The asks whose answers may still come, by their numbers.
 *
 * <p>Invariant: each is answered once, by the VM that was asked. Not safe for use by several
 * threads.
 */
final class PendingAsks {
  private final Map<Long, PendingAsk> asks = new HashMap<>();

  void add(PendingAsk ask) {
    asks.put(ask.ask().askId(), ask);
  }

  boolean isOpen(PendingAsk ask) {
    return asks.containsKey(ask.ask().askId());
  }

  /** Removes and returns the ask that the answer belongs to, if there is one. */
  Optional<PendingAsk> take(VmId from, Answer answer) {
    PendingAsk ask = asks.get(answer.askId());
    if (ask == null || !ask.owner().equals(from) || ask.wanted().size() != answer.grants().size()) {
      return Optional.empty();
    }
    asks.remove(answer.askId());
    return Optional.of(ask);
  }

  /** Forgets the asks that were sent before the given time. */
  void forgetBefore(long millis) {
    asks.values().removeIf(ask -> ask.sentMillis() < millis);
  }
}
