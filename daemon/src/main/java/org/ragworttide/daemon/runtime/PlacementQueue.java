package org.ragworttide.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.ragworttide.coordination.id.ModelId;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.queueing.Entry;
import org.ragworttide.coordination.queueing.FairQueue;
import org.ragworttide.coordination.queueing.Offer;
import org.ragworttide.coordination.queueing.Priority;
import org.ragworttide.coordination.queueing.QueueRefusal;
import org.ragworttide.coordination.queueing.QueueSettings;
import org.ragworttide.coordination.queueing.Work;
import org.ragworttide.coordination.time.TimerService;

/**
 * Queues requests that no upstream can accept now: one queue for each model, fair between
 * organisations.
 *
 * <p>Invariant: a request leaves the queue once. Confined to the coordination thread.
 *
 * @param <T> the type of the queued requests
 */
final class PlacementQueue<T> {
  private static final double SMOOTHING_FACTOR = 0.1;

  private final TimerService time;
  private final BiConsumer<T, QueueRefusal> refused;
  private final Map<ModelId, FairQueue<T>> queues = new HashMap<>();
  private final Map<ModelId, Double> answerMillis = new HashMap<>();

  PlacementQueue(TimerService time, BiConsumer<T, QueueRefusal> refused) {
    this.time = time;
    this.refused = refused;
  }

  boolean isEmpty(ModelId model) {
    FairQueue<T> queue = queues.get(model);
    return queue == null || queue.size() == 0;
  }

  Offer<T> offer(
      ModelId model, OrganisationId organisation, double weight, long remainingMillis, T waiting) {
    long expected = answerMillis.getOrDefault(model, 0.0).longValue();
    Work work =
        new Work(
            organisation,
            Priority.INTERACTIVE,
            1 / weight,
            time.nowMillis() + remainingMillis,
            expected);
    return queue(model).offer(work, waiting);
  }

  /**
   * Records the duration of an answer; the smoothed duration decides which queued requests can
   * still complete before their deadlines.
   */
  void recordAnswer(ModelId model, long millis) {
    answerMillis.merge(model, (double) millis, (old, now) -> old + SMOOTHING_FACTOR * (now - old));
  }

  void cancel(ModelId model, Entry<T> entry) {
    queue(model).cancel(entry);
  }

  /**
   * Passes the queued requests of each model to the predicate, in fair order, until it rejects one.
   */
  void dispatch(Predicate<T> tryPlace) {
    queues.values().forEach(queue -> drain(queue, tryPlace));
  }

  int size() {
    return queues.values().stream().mapToInt(FairQueue::size).sum();
  }

  private void drain(FairQueue<T> queue, Predicate<T> tryPlace) {
    if (queue.size() > 0) {
      queue.expire();
      queue.dispatch(entry -> tryPlace.test(entry.attachment()));
    }
  }

  private FairQueue<T> queue(ModelId model) {
    return queues.computeIfAbsent(
        model,
        id ->
            new FairQueue<>(
                time,
                QueueSettings.DEFAULTS,
                (entry, reason) -> refused.accept(entry.attachment(), reason)));
  }
}
