package org.ragworttide.coordination.queueing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.time.TimerService;

/**
 * Queues the requests for one model and dispatches them by start-time fair queueing between
 * organisations.
 *
 * <p>Invariants: the number of waiting requests never exceeds its bound; a full queue refuses a
 * request of the organisation with the most requests, including the offered one; a request whose
 * answer cannot be complete by its deadline is refused and never sent; an organisation with no more
 * than its burst waiting is never refused because of an estimated wait; a refused request has not
 * run. Confined to the coordination thread.
 *
 * @param <T> the type of the attachment
 */
public final class FairQueue<T> {
  private static final double WAIT_MARGIN_FACTOR = 1.25;

  private final TimerService time;
  private final QueueSettings settings;
  private final BiConsumer<Entry<T>, QueueRefusal> refusalHandler;
  private final Map<OrganisationId, OrganisationQueue<T>> organisations = new LinkedHashMap<>();
  private final DispatchRate rate;
  private double virtualTime;
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param time the timer service
   * @param settings the bounds
   * @param refusalHandler receives each request that is refused after it was queued
   */
  public FairQueue(
      TimerService time,
      QueueSettings settings,
      BiConsumer<Entry<T>, QueueRefusal> refusalHandler) {
    this.time = time;
    this.settings = settings;
    this.refusalHandler = refusalHandler;
    this.rate = new DispatchRate(settings.rateWindowMillis());
  }

  /** Queues a request, or returns the reason for which it is refused at once. */
  public Offer<T> offer(Work work, T attachment) {
    long wait = estimatedWaitMillis(work.organisation(), work.cost());
    if (!canFinish(work, wait)) {
      return new Offer.Refused<>(QueueRefusal.TOO_LATE, wait);
    }
    if (size >= settings.maxEntries() && !evictForNewcomer(work.organisation())) {
      return new Offer.Refused<>(QueueRefusal.FULL, wait);
    }
    OrganisationQueue<T> queue =
        organisations.computeIfAbsent(work.organisation(), id -> new OrganisationQueue<>());
    queue.advanceVirtualStart(earliestStart(work.cost()));
    Entry<T> entry = new Entry<>(work, attachment);
    queue.add(entry);
    size++;
    return new Offer.Queued<>(entry);
  }

  /**
   * Dispatches requests in fair order until none waits or the taker does not accept one.
   *
   * @param taker handles a request and returns whether it accepted it
   * @return the number of dispatched requests
   */
  public int dispatch(Predicate<Entry<T>> taker) {
    int dispatched = 0;
    while (true) {
      OrganisationQueue<T> queue = nextQueue();
      if (queue == null) {
        rate.endHold();
        return dispatched;
      }
      Entry<T> entry = queue.first();
      if (!entry.work().canFinish(time.nowMillis())) {
        refuse(queue, entry, QueueRefusal.TOO_LATE);
      } else if (taker.test(entry)) {
        remove(queue, entry);
        virtualTime = Math.max(virtualTime, queue.virtualStart());
        queue.charge(entry.work().cost());
        rate.recordDispatch(time.nowMillis());
        dispatched++;
      } else {
        rate.startHold(time.nowMillis());
        return dispatched;
      }
    }
  }

  /** Removes a request whose caller has gone. */
  public void cancel(Entry<T> entry) {
    OrganisationQueue<T> queue = organisations.get(entry.work().organisation());
    if (queue != null && entry.isWaiting()) {
      remove(queue, entry);
    }
  }

  /** Refuses requests that can no longer finish in time, and removes idle organisations. */
  public void expire() {
    long now = time.nowMillis();
    List<Entry<T>> late = new ArrayList<>();
    for (OrganisationQueue<T> queue : organisations.values()) {
      queue.forEach(
          entry -> {
            if (!entry.work().canFinish(now)) {
              late.add(entry);
            }
          });
    }
    late.forEach(
        entry ->
            refuse(organisations.get(entry.work().organisation()), entry, QueueRefusal.TOO_LATE));
    organisations.values().forEach(OrganisationQueue::compact);
    organisations.values().removeIf(q -> q.size() == 0 && q.virtualStart() <= virtualTime);
  }

  /** Returns how many requests wait. */
  public int size() {
    return size;
  }

  /** Returns how many requests of an organisation wait. */
  public int size(OrganisationId organisation) {
    return Optional.ofNullable(organisations.get(organisation))
        .map(OrganisationQueue::size)
        .orElse(0);
  }

  /** Returns how long a further request of the organisation would wait at the current rate. */
  public long estimatedWaitMillis(OrganisationId organisation, double cost) {
    if (size == 0) {
      return 0;
    }
    OrganisationQueue<T> own = organisations.get(organisation);
    double earliest = earliestStart(cost);
    double start = own == null ? earliest : own.startOfNext(cost, earliest);
    long ahead = own == null ? 0 : own.size();
    for (OrganisationQueue<T> queue : organisations.values()) {
      ahead += queue == own ? 0 : queue.countStartingBefore(start);
    }
    return rate.millisFor(ahead, time.nowMillis());
  }

  /**
   * Returns whether the answer can be complete by the deadline. The estimated wait, with a margin,
   * counts only for an organisation with more than its burst waiting.
   */
  private boolean canFinish(Work work, long waitMillis) {
    boolean withinBurst = size(work.organisation()) <= settings.burstRequests();
    long allowance = withinBurst ? 0 : (long) (waitMillis * WAIT_MARGIN_FACTOR);
    return work.canFinish(time.nowMillis() + allowance);
  }

  private double earliestStart(double cost) {
    return virtualTime - settings.burstRequests() * cost;
  }

  private OrganisationQueue<T> nextQueue() {
    OrganisationQueue<T> best = null;
    for (OrganisationQueue<T> queue : organisations.values()) {
      boolean earlier = best == null || queue.virtualStart() < best.virtualStart();
      if (queue.size() > 0 && earlier) {
        best = queue;
      }
    }
    return best;
  }

  /**
   * Refuses the last request of the organisation with the most waiting requests and returns true,
   * or returns false if the newcomer would then have at least as many.
   */
  private boolean evictForNewcomer(OrganisationId newcomer) {
    OrganisationQueue<T> longest = null;
    for (OrganisationQueue<T> queue : organisations.values()) {
      if (longest == null || queue.size() > longest.size()) {
        longest = queue;
      }
    }
    if (longest == null || longest.size() <= size(newcomer) + 1) {
      return false;
    }
    refuse(longest, longest.last(), QueueRefusal.FULL);
    return true;
  }

  private void refuse(OrganisationQueue<T> queue, Entry<T> entry, QueueRefusal reason) {
    remove(queue, entry);
    refusalHandler.accept(entry, reason);
  }

  private void remove(OrganisationQueue<T> queue, Entry<T> entry) {
    queue.remove(entry);
    size--;
  }
}
