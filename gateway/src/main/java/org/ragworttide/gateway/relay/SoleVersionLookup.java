package org.ragworttide.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.ragworttide.coordination.streams.SoleVersion;
import org.ragworttide.coordination.streams.StoreListing;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.feed.ChangeFeed;
import org.ragworttide.gateway.feed.ReadOutcome;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.view.FleetView;

/**
 * Finds the only version that can have begun a stream that no VM remembers.
 *
 * <p>A VM that has not observed the service for as long as the stream may have lasted asks the
 * store what was before: its listing tells whether something went, its history what.
 *
 * <p>Invariant: a version is found only if none other can have begun the stream. Confined to the
 * event loop.
 */
public final class SoleVersionLookup {
  private final FleetView view;
  private final ChangeFeed feed;
  private final TimerService time;
  private final LongSupplier unixMillis;
  private final List<Runnable> awaitingHistory = new ArrayList<>();

  /**
   * Creates a lookup.
   *
   * @param view the VM's view of the fleet
   * @param feed the changes of the store
   * @param time the clock of the event loop
   * @param unixMillis the Unix time in milliseconds
   */
  public SoleVersionLookup(
      FleetView view, ChangeFeed feed, TimerService time, LongSupplier unixMillis) {
    this.view = view;
    this.feed = feed;
    this.time = time;
    this.unixMillis = unixMillis;
  }

  /**
   * Finds the version.
   *
   * @param streamMillis the longest time between the first event of a stream and its continuation
   * @param found receives the answer
   */
  void find(ServiceName service, long streamMillis, Consumer<SoleVersion> found) {
    SoleVersion known = view.soleVersion(service, streamMillis, time.nowMillis());
    if (known instanceof SoleVersion.Unobserved unobserved) {
      observeSince(
          unobserved.sinceMillis(),
          () -> found.accept(view.soleVersion(service, streamMillis, time.nowMillis())));
    } else {
      found.accept(known);
    }
  }

  /** Extends the observation of the store into the past, as far as the store tells of it. */
  private void observeSince(long sinceMillis, Runnable done) {
    long clockOffsetMillis = unixMillis.getAsLong() - time.nowMillis();
    Optional<StoreListing.Mark> mark =
        view.listing().markBefore(sinceMillis + clockOffsetMillis - 1);
    if (mark.isEmpty()) {
      done.run();
    } else if (view.listing().isCompleteSince(mark.get())) {
      view.extendObservation(mark.get().beforeUnixMillis() - clockOffsetMillis);
      done.run();
    } else {
      awaitingHistory.add(done);
      if (awaitingHistory.size() == 1) {
        readHistory(mark.get(), mark.get().beforeUnixMillis() - clockOffsetMillis);
      }
    }
  }

  private void readHistory(StoreListing.Mark mark, long sinceMillis) {
    StoreListing listing = view.listing();
    feed.readPast(
        mark,
        outcome -> {
          // A listing that was applied in the meantime has begun another observation.
          if (view.listing() == listing) {
            switch (outcome) {
              case ReadOutcome.Changes past -> view.extendObservation(sinceMillis);
              case ReadOutcome.HistoryGone gone -> view.recordListing(StoreListing.NONE);
              case ReadOutcome.Unanswered unanswered -> {
                // The next stream that nobody remembers asks again.
              }
            }
          }
          List<Runnable> waiting = List.copyOf(awaitingHistory);
          awaitingHistory.clear();
          waiting.forEach(Runnable::run);
        });
  }
}
