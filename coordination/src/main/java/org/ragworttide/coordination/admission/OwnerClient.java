package org.ragworttide.coordination.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.ragworttide.coordination.id.UpstreamId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.AdmissionMessage;
import org.ragworttide.coordination.message.AdmissionMessage.Ask;
import org.ragworttide.coordination.message.AdmissionMessage.Feedback;
import org.ragworttide.coordination.message.AdmissionMessage.Warm;
import org.ragworttide.coordination.message.Transport;

/**
 * Sender of a daemon's permit requests and reports to the owners of upstreams.
 *
 * <p>Invariants: the numbers of a daemon's messages increase; permit requests stay within their
 * budget. Confined to the coordination thread.
 */
final class OwnerClient {
  private final VmId self;
  private final OwnerView owners;
  private final Transport transport;
  private final Consumer<AdmissionMessage> localReceiver;
  private final int maxAsksPerWindow;
  private final long asker;
  private final Map<UpstreamId, VmId> warmReportedTo = new HashMap<>();
  private long nextNumber = 1;
  private int remainingAsks;

  OwnerClient(
      VmId self,
      OwnerView owners,
      Transport transport,
      Consumer<AdmissionMessage> localReceiver,
      int maxAsksPerWindow,
      long asker) {
    this.self = self;
    this.owners = owners;
    this.transport = transport;
    this.localReceiver = localReceiver;
    this.maxAsksPerWindow = maxAsksPerWindow;
    this.asker = asker;
    this.remainingAsks = maxAsksPerWindow;
  }

  long asker() {
    return asker;
  }

  /** Starts a new budget window for permit requests. */
  void beginWindow() {
    remainingAsks = maxAsksPerWindow;
  }

  void retainAll(Set<UpstreamId> upstreams) {
    warmReportedTo.keySet().retainAll(upstreams);
  }

  /** Requests permits from the owner, if there is one and a permit request may be sent now. */
  void requestPermits(
      UpstreamId upstream, PermitPool pool, int permits, long nowMillis, long timeoutMillis) {
    Optional<VmId> to = ownerOf(upstream);
    boolean canAsk = remainingAsks > 0 && pool.canAsk(nowMillis, timeoutMillis);
    if (to.isEmpty() || !canAsk) {
      return;
    }
    remainingAsks--;
    long number = nextNumber++;
    long abandonedFrom = pool.recordAsk(number, nowMillis);
    send(to.get(), new Ask(upstream, pool.incarnation(), asker, number, abandonedFrom, permits));
  }

  /** Reports outcomes of requests and returned permits to the owner. */
  void sendFeedback(
      UpstreamId upstream,
      PermitPool pool,
      int succeeded,
      int failed,
      int slow,
      List<Long> returned) {
    long number = nextNumber++;
    Feedback feedback =
        new Feedback(
            upstream, pool.incarnation(), asker, number, succeeded, failed, slow, returned);
    ownerOf(upstream).ifPresent(vm -> send(vm, feedback));
  }

  /**
   * Reports a warm upstream to its owner, unless this daemon's last such report went to the same
   * owner.
   */
  void reportWarm(UpstreamId upstream, PermitPool pool) {
    Optional<VmId> to = ownerOf(upstream);
    if (to.isPresent() && !to.get().equals(warmReportedTo.put(upstream, to.get()))) {
      send(to.get(), new Warm(upstream, pool.incarnation(), 0, 0));
    }
  }

  /**
   * Answers an owner's poll if the upstream is warm here or only requests within this daemon's
   * share run.
   */
  void answerPoll(VmId owner, Ask pollRequest, PermitPool pool) {
    UpstreamId upstream = pollRequest.upstream();
    if (pool.isWarm()) {
      send(owner, new Warm(upstream, pool.incarnation(), 0, pollRequest.number()));
    } else if (pool.isWithinShare()) {
      // An answer of an earlier owner that arrives later must not start any request.
      pool.voidPendingAsk();
      List<Long> answer = List.of(pollRequest.number());
      long number = nextNumber++;
      send(owner, new Feedback(upstream, pool.incarnation(), asker, number, 0, 0, 0, answer));
    }
  }

  void send(VmId to, AdmissionMessage message) {
    if (to.equals(self)) {
      localReceiver.accept(message);
    } else {
      transport.send(to, message);
    }
  }

  private Optional<VmId> ownerOf(UpstreamId upstream) {
    return owners.ownerOf(ColdAdmission.resource(upstream));
  }
}
