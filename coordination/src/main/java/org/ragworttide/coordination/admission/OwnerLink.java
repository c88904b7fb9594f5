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
 * Sends what a daemon has to ask or tell the owners of upstreams.
 *
 * <p>Invariants: the numbers of a daemon's messages grow; questions stay within their budget.
 * Confined to the coordination thread.
 */
final class OwnerLink {
  private final VmId self;
  private final OwnerView owners;
  private final Transport transport;
  private final Consumer<AdmissionMessage> local;
  private final int asksInWindow;
  private final long asker;
  private final Map<UpstreamId, VmId> vouchedTo = new HashMap<>();
  private long nextNumber = 1;
  private int asksLeft;

  OwnerLink(
      VmId self,
      OwnerView owners,
      Transport transport,
      Consumer<AdmissionMessage> local,
      int asksInWindow,
      long asker) {
    this.self = self;
    this.owners = owners;
    this.transport = transport;
    this.local = local;
    this.asksInWindow = asksInWindow;
    this.asker = asker;
    this.asksLeft = asksInWindow;
  }

  long asker() {
    return asker;
  }

  /** Begins a new window of questions. */
  void beginWindow() {
    asksLeft = asksInWindow;
  }

  void retainAll(Set<UpstreamId> upstreams) {
    vouchedTo.keySet().retainAll(upstreams);
  }

  /** Asks the owner for permits, if there is one and a question may be sent now. */
  void ask(UpstreamId upstream, PermitPool pool, int permits, long nowMillis, long timeoutMillis) {
    Optional<VmId> to = ownerOf(upstream);
    boolean mayAsk = asksLeft > 0 && pool.mayAsk(nowMillis, timeoutMillis);
    if (to.isEmpty() || !mayAsk) {
      return;
    }
    asksLeft--;
    long number = nextNumber++;
    long abandonedFrom = pool.asked(number, nowMillis);
    send(to.get(), new Ask(upstream, pool.incarnation(), asker, number, abandonedFrom, permits));
  }

  /** Tells the owner how requests went and which permits are free again. */
  void tell(
      UpstreamId upstream, PermitPool pool, int ok, int failed, int slow, List<Long> returned) {
    long number = nextNumber++;
    Feedback feedback =
        new Feedback(upstream, pool.incarnation(), asker, number, ok, failed, slow, returned);
    ownerOf(upstream).ifPresent(vm -> send(vm, feedback));
  }

  /** Vouches for a warm upstream to an owner that has not heard it from here. */
  void vouch(UpstreamId upstream, PermitPool pool) {
    Optional<VmId> to = ownerOf(upstream);
    if (to.isPresent() && !to.get().equals(vouchedTo.put(upstream, to.get()))) {
      send(to.get(), new Warm(upstream, pool.incarnation(), 0, 0));
    }
  }

  /** Answers an owner that nothing runs here without its permits, or vouches for the upstream. */
  void answerCensus(VmId owner, Ask question, PermitPool pool) {
    UpstreamId upstream = question.upstream();
    if (pool.isWarm()) {
      send(owner, new Warm(upstream, pool.incarnation(), 0, question.number()));
    } else if (pool.isQuiet()) {
      // An earlier owner's word that comes later must not start anything.
      pool.voidQuestion();
      List<Long> answer = List.of(question.number());
      long number = nextNumber++;
      send(owner, new Feedback(upstream, pool.incarnation(), asker, number, 0, 0, 0, answer));
    }
  }

  void send(VmId to, AdmissionMessage message) {
    if (to.equals(self)) {
      local.accept(message);
    } else {
      transport.send(to, message);
    }
  }

  private Optional<VmId> ownerOf(UpstreamId upstream) {
    return owners.ownerOf(ColdAdmission.resource(upstream));
  }
}
