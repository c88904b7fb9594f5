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
 * Collects the wants and closes for each owner for a short delay and sends them together, in asks
 * of bounded size.
 *
 * <p>Invariant: each close is sent once, and each waiting request is part of one ask. Not safe for
 * use by several threads.
 */
final class AskOutbox {
  private static final int MAX_REQUESTS_PER_WANT = 32;
  private static final int MAX_WANTS = 64;
  private static final int MAX_CLOSES = 64;

  private final VmId self;
  private final TimerService time;
  private final BiConsumer<VmId, PendingAsk> sender;
  private final Map<VmId, Batch> batches = new HashMap<>();
  private long nextAskId;

  AskOutbox(VmId self, TimerService time, long firstAskId, BiConsumer<VmId, PendingAsk> sender) {
    this.self = self;
    this.time = time;
    this.nextAskId = firstAskId;
    this.sender = sender;
  }

  /** Adds a part to the wants of the next ask; an ask to this VM itself is sent at once. */
  void addWant(VmId owner, HolderAccount account, LimitPart part) {
    Batch batch = batches.computeIfAbsent(owner, id -> new Batch());
    batch.accountsByPart.put(part, account);
    schedule(owner, batch, owner.equals(self) ? 0 : LimitTimes.BATCH_DELAY_MILLIS);
  }

  /** Adds a close to the next ask, which is sent within the given delay. */
  void addClose(VmId owner, Close close, int delayMillis) {
    Batch batch = batches.computeIfAbsent(owner, id -> new Batch());
    batch.closes.addLast(close);
    schedule(owner, batch, delayMillis);
  }

  /** Sends all collected wants and closes now. */
  void flushAll() {
    List.copyOf(batches.keySet()).forEach(this::flush);
  }

  private void schedule(VmId owner, Batch batch, int delayMillis) {
    if (delayMillis == 0) {
      flush(owner);
      return;
    }
    long due = time.nowMillis() + delayMillis;
    if (due < batch.dueMillis) {
      batch.dueMillis = due;
      batch.timer.cancel();
      batch.timer = time.after(delayMillis, () -> flush(owner));
    }
  }

  private void flush(VmId owner) {
    Batch batch = batches.remove(owner);
    if (batch == null) {
      return;
    }
    batch.timer.cancel();
    while (!batch.accountsByPart.isEmpty() || !batch.closes.isEmpty()) {
      send(owner, batch);
    }
  }

  private void send(VmId owner, Batch batch) {
    List<PendingAsk.Wanted> wanted = new ArrayList<>();
    while (wanted.size() < MAX_WANTS && !batch.accountsByPart.isEmpty()) {
      wanted.add(nextWanted(owner, batch));
    }
    List<Close> closes = new ArrayList<>();
    while (closes.size() < MAX_CLOSES && !batch.closes.isEmpty()) {
      closes.add(batch.closes.removeFirst());
    }
    List<Want> wants = wanted.stream().map(PendingAsk.Wanted::want).toList();
    long askId = wants.isEmpty() ? 0 : nextAskId++;
    Ask ask = new Ask(askId, wants, closes);
    sender.accept(owner, new PendingAsk(owner, time.nowMillis(), ask, wanted));
  }

  private PendingAsk.Wanted nextWanted(VmId owner, Batch batch) {
    Map.Entry<LimitPart, HolderAccount> next = batch.accountsByPart.entrySet().iterator().next();
    LimitPart part = next.getKey();
    HolderAccount account = next.getValue();
    List<Waiter> waiters = account.takeWaiting(part, owner, MAX_REQUESTS_PER_WANT);
    boolean hasMore = account.hasWaiting(part, owner);
    int spare = hasMore ? 0 : account.spareTokens(part, time.nowMillis());
    if (!hasMore) {
      batch.accountsByPart.remove(part);
    }
    return new PendingAsk.Wanted(account, part, waiters, spare);
  }

  private static final class Batch {
    private final Map<LimitPart, HolderAccount> accountsByPart = new LinkedHashMap<>();
    private final Deque<Close> closes = new ArrayDeque<>();
    private TimerService.Subscription timer = () -> {};
    private long dueMillis = Long.MAX_VALUE;
  }
}
