package org.ragworttide.coordination.limits;

import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage.Ask;
import org.ragworttide.coordination.message.LimitMessage.Close;
import org.ragworttide.coordination.time.TimerService;

/**
 * Notifies peers of the requests that this VM has counted against its reserves, so that a retry at
 * another VM is not counted again.
 *
 * <p>Invariant: each request is sent once to each peer, in messages of bounded size. Not safe for
 * use by several threads.
 */
final class CountedRequestNotifier {
  private static final int DELAY_MILLIS = 500;
  private static final int MAX_REQUESTS_PER_NOTICE = 64;
  private static final long NO_PERMIT = 0;

  private final TimerService time;
  private final LimitPeers peers;
  private final AskOutbox outbox;
  private List<Long> requests = new ArrayList<>();

  CountedRequestNotifier(TimerService time, LimitPeers peers, AskOutbox outbox) {
    this.time = time;
    this.peers = peers;
    this.outbox = outbox;
  }

  /** Returns the requests that the sender of an ask has counted against its reserves. */
  static List<Long> requestsOf(Ask ask) {
    return ask.closes().stream()
        .filter(close -> close.permitId() == NO_PERMIT)
        .flatMap(close -> close.requests().stream())
        .toList();
  }

  void add(long request) {
    if (requests.isEmpty()) {
      time.after(DELAY_MILLIS, this::flush);
    }
    requests.add(request);
    if (requests.size() == MAX_REQUESTS_PER_NOTICE) {
      flush();
    }
  }

  /** Sends the requests that have not been sent yet. */
  void flush() {
    if (!requests.isEmpty()) {
      Close notice = new Close(NO_PERMIT, false, requests);
      requests = new ArrayList<>();
      for (VmId peer : peers.lendingPeers()) {
        outbox.addClose(peer, notice, LimitTimes.BATCH_DELAY_MILLIS);
      }
    }
  }
}
