package org.ragworttide.coordination.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Close;
import org.ragworttide.coordination.message.LimitMessage.Want;
import org.ragworttide.coordination.time.TimerService;

/**
 * Gathers what goes to one owner for a moment and sends it as one ask.
 *
 * <p>Invariant: each close is sent once, each waiting request stands in one ask. Not safe for use
 * by several threads.
 */
final class AskOutbox {
  private static final int MAX_REQUESTS_A_WANT = 32;
  private static final int MAX_WANTS = 64;
  private static final int MAX_CLOSES = 64;

  private final VmId self;
  private final TimerService time;
  private final BiConsumer<VmId, PendingAsk> sender;
  private final Map<VmId, Box> boxes = new HashMap<>();
  private long nextAskId;

  AskOutbox(VmId self, TimerService time, long firstAskId, BiConsumer<VmId, PendingAsk> sender) {
    this.self = self;
    this.time = time;
    this.nextAskId = firstAskId;
    this.sender = sender;
  }

  /** Sends the account's wishes for a part with the next ask, which goes to this VM at once. */
  void want(VmId owner, HolderAccount account, LimitPart part) {
    Box box = boxes.computeIfAbsent(owner, id -> new Box());
    box.wishes.put(part, account);
    schedule(owner, box, owner.equals(self) ? 0 : LimitTimes.BATCH_DELAY_MILLIS);
  }

  /** Sends a close within the delay. */
  void close(VmId owner, Close close, int delayMillis) {
    Box box = boxes.computeIfAbsent(owner, id -> new Box());
    box.closes.addLast(close);
    schedule(owner, box, delayMillis);
  }

  /** Sends everything now. */
  void flushAll() {
    List.copyOf(boxes.keySet()).forEach(this::flush);
  }

  private void schedule(VmId owner, Box box, int delayMillis) {
    if (delayMillis == 0) {
      flush(owner);
      return;
    }
    long due = time.nowMillis() + delayMillis;
    if (due < box.dueMillis) {
      box.dueMillis = due;
      box.timer.cancel();
      box.timer = time.after(delayMillis, () -> flush(owner));
    }
  }

  private void flush(VmId owner) {
    Box box = boxes.remove(owner);
    if (box == null) {
      return;
    }
    box.timer.cancel();
    while (!box.wishes.isEmpty() || !box.closes.isEmpty()) {
      send(owner, box);
    }
  }

  private void send(VmId owner, Box box) {
    List<PendingAsk.Wanted> wanted = new ArrayList<>();
    while (wanted.size() < MAX_WANTS && !box.wishes.isEmpty()) {
      wanted.add(nextWanted(owner, box));
    }
    List<Close> closes = new ArrayList<>();
    while (closes.size() < MAX_CLOSES && !box.closes.isEmpty()) {
      closes.add(box.closes.removeFirst());
    }
    List<Want> wants = wanted.stream().map(PendingAsk.Wanted::want).toList();
    long askId = wants.isEmpty() ? 0 : nextAskId++;
    Ask ask = new Ask(askId, wants, closes);
    sender.accept(owner, new PendingAsk(owner, time.nowMillis(), ask, wanted));
  }

  private PendingAsk.Wanted nextWanted(VmId owner, Box box) {
    Map.Entry<LimitPart, HolderAccount> wish = box.wishes.entrySet().iterator().next();
    LimitPart part = wish.getKey();
    HolderAccount account = wish.getValue();
    List<Waiter> waiters = account.takeWaiting(part, owner, MAX_REQUESTS_A_WANT);
    boolean more = account.isAwaited(part, owner);
    int spare = more ? 0 : account.spareTokens(part, time.nowMillis());
    if (!more) {
      box.wishes.remove(part);
    }
    return new PendingAsk.Wanted(account, part, waiters, spare);
  }

  private static final class Box {
    private final Map<LimitPart, HolderAccount> wishes = new LinkedHashMap<>();
    private final Deque<Close> closes = new ArrayDeque<>();
    private TimerService.Subscription timer = () -> {};
    private long dueMillis = Long.MAX_VALUE;
  }
}
