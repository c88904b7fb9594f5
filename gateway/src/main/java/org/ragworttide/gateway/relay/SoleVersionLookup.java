package org.ragworttide.gateway.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ragworttide.coordination.streams.SoleVersion;
import org.ragworttide.coordination.streams.StoreListing;
import org.ragworttide.coordination.time.TimerService;
import org.ragworttide.gateway.feed.ChangeFeed;
import org.ragworttide.gateway.feed.ReadOutcome;
import org.ragworttide.gateway.model.ServiceName;
import org.ragworttide.gateway.view.ObservedVersions;

/**
 * Finds the only version that can have begun a stream that no VM remembers.
 *
 * <p>A VM that has not observed the service for as long as the stream may have lasted asks the
 * store what was before: its listing tells whether something went, its history what. What a VM has
 * observed may end some time ago without its notice, if it was cut off or suspended, so the store
 * has to confirm it after the caller's request has arrived.
 *
 * <p>Invariants: a version is found only if none other can have begun the stream; one confirmation
 * is asked for at a time, for all streams that wait for one. Confined to the event loop.
 */
public final class SoleVersionLookup {
  /**
   * Milliseconds between calls to the store: 345 VMs that start together stay far below the rate
   * that the store of so large a fleet serves.
   */
  private static final long CONFIRMATION_PERIOD_MILLIS = 100;

  private final ObservedVersions versions;
  private final ChangeFeed feed;
  private final TimerService time;
  private final List<Runnable> awaitingHistory = new ArrayList<>();
  private final List<Consumer<Boolean>> awaitingConfirmation = new ArrayList<>();
  private long confirmationAtMillis = Long.MIN_VALUE / 2;
  private boolean confirming;

  /**
   * Creates a lookup.
   *
   * @param versions the versions that the VM has observed
   * @param feed the changes of the store
   * @param time the clock of the event loop
   */
  public SoleVersionLookup(ObservedVersions versions, ChangeFeed feed, TimerService time) {
    this.versions = versions;
    this.feed = feed;
    this.time = time;
  }

  /**
   * Finds the version.
   *
   * @param streamMillis the longest time between the first event of a stream and its continuation
   * @param found receives the answer
   */
  void find(ServiceName service, long streamMillis, Consumer<SoleVersion> found) {
    switch (versions.sole(service, streamMillis, time.nowMillis())) {
      case SoleVersion.Unobserved unobserved ->
          observePast(() -> confirm(service, streamMillis, found));
      case SoleVersion.Known known -> confirm(service, streamMillis, found);
      case SoleVersion other -> found.accept(other);
    }
  }

  private void confirm(ServiceName service, long streamMillis, Consumer<SoleVersion> found) {
    SoleVersion known = versions.sole(service, streamMillis, time.nowMillis());
    if (!(known instanceof SoleVersion.Known)) {
      found.accept(known);
      return;
    }
    awaitingConfirmation.add(
        confirmed ->
            found.accept(
                confirmed
                    ? versions.sole(service, streamMillis, time.nowMillis())
                    : new SoleVersion.Unconfirmed()));
    if (!confirming) {
      scheduleConfirmation();
    }
  }

  private void scheduleConfirmation() {
    confirming = true;
    long delayMillis = confirmationAtMillis + CONFIRMATION_PERIOD_MILLIS - time.nowMillis();
    if (delayMillis > 0) {
      time.after(delayMillis, this::askForConfirmation);
    } else {
      askForConfirmation();
    }
  }

  private void askForConfirmation() {
    confirmationAtMillis = time.nowMillis();
    List<Consumer<Boolean>> asking = List.copyOf(awaitingConfirmation);
    awaitingConfirmation.clear();
    feed.confirm(
        confirmed -> {
          asking.forEach(it -> it.accept(confirmed));
          confirming = false;
          if (!awaitingConfirmation.isEmpty()) {
            scheduleConfirmation();
          }
        });
  }

  /** Extends the observation of the store into the past, as far as the store tells of it. */
  private void observePast(Runnable done) {
    StoreListing listing = versions.listing();
    if (listing.isComplete()) {
      versions.recordPastKnown();
      done.run();
    } else if (listing.historyStart().isEmpty()) {
      done.run();
    } else {
      awaitingHistory.add(done);
      if (awaitingHistory.size() == 1) {
        readHistory(listing, listing.historyStart().getAsLong());
      }
    }
  }

  private void readHistory(StoreListing listing, long afterRevision) {
    feed.readPast(
        afterRevision,
        outcome -> {
          // A listing that was applied in the meantime has begun another observation.
          if (versions.listing() == listing) {
            switch (outcome) {
              case ReadOutcome.Changes past -> versions.recordPastKnown();
              case ReadOutcome.HistoryGone gone -> versions.recordListing(StoreListing.NONE);
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
