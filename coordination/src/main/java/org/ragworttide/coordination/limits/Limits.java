package org.ragworttide.coordination.limits;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.ragworttide.coordination.hash.Rendezvous;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.OrganisationId;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.message.LimitMessage;
import org.ragworttide.coordination.message.Transport;
import org.ragworttide.coordination.time.TimerService;

/**
 * Enforces the rate and burst of each organisation over the whole fleet; this VM is both an owner
 * that grants permits and a holder that uses them.
 *
 * <p>Invariant: in any window of time, all VMs together admit and count at most burst plus rate
 * times window requests of an organisation, even if messages are lost, repeated, delayed or
 * reordered. Called on the coordination thread only.
 */
public final class Limits implements LimitCommands, LimitQueries {
  private static final long FIRST_PERMIT_MASK = (1L << 41) - 1;
  private static final long FIRST_ASK_MASK = (1L << 27) - 1;

  private final VmId self;
  private final Transport transport;
  private final TimerService time;
  private final LimitTable table;
  private final LimitEventCounter eventCounter = new LimitEventCounter();
  private final LimitOwner owner;
  private final LimitHolder holder;

  /**
   * Creates the limits of one VM, without any organisation.
   *
   * @param self this VM
   * @param incarnation the incarnation of this process
   * @param time the timer service
   * @param transport sends messages to peers
   * @param owners reports the owner of a resource
   * @param settings the settings common to all daemons
   */
  public Limits(
      VmId self,
      Incarnation incarnation,
      TimerService time,
      Transport transport,
      OwnerView owners,
      LimitSettings settings) {
    this.self = self;
    this.transport = transport;
    this.time = time;
    this.table = new LimitTable(settings);
    long firstPermitId = 1 + (incarnation.value() & FIRST_PERMIT_MASK);
    long firstAskId = 1 + (incarnation.value() & FIRST_ASK_MASK);
    this.holder = new LimitHolder(self, time, owners, settings, eventCounter, firstAskId);
    this.owner = new LimitOwner(time, owners, table, holder::reserve, firstPermitId);
    holder.setSender(this::send);
    time.every(LimitTimes.SWEEP_PERIOD_MILLIS, this::sweep);
  }

  @Override
  public void acquire(
      OrganisationId organisation, String requestId, Consumer<LimitDecision> decision) {
    long request = Rendezvous.hash(organisation.value() + '\n' + requestId);
    holder.acquire(organisation, request, decision);
  }

  @Override
  public void apply(Map<OrganisationId, RateLimit> limits) {
    owner.settleAll();
    table.replace(limits);
    owner.applyShares();
    holder.apply(table);
  }

  @Override
  public void replacePeers(List<VmId> vms) {
    holder.replacePeers(vms);
  }

  @Override
  public void receive(VmId from, LimitMessage message) {
    switch (message) {
      case LimitMessage.Ask ask -> {
        holder.recordCountedByPeer(ask);
        answer(from, ask);
      }
      case LimitMessage.Answer answer -> holder.receive(from, answer);
    }
  }

  @Override
  public void returnTokens() {
    holder.returnTokens();
  }

  @Override
  public long permitsExpireAtMillis() {
    return time.nowMillis() + ClockDrift.stretched(LimitTimes.PERMIT_MILLIS);
  }

  @Override
  public LimitCounters counters() {
    return eventCounter.counters();
  }

  @Override
  public long heldTokens(OrganisationId organisation) {
    return holder
        .account(organisation)
        .map(account -> account.heldTokens(time.nowMillis()))
        .orElse(0L);
  }

  @Override
  public long reservedTokens(OrganisationId organisation) {
    return holder
        .account(organisation)
        .map(account -> account.reserve().bucket().wholeTokens())
        .orElse(0L);
  }

  @Override
  public long ownedTokens(OrganisationId organisation) {
    int parts = table.shares(organisation).map(LimitShares::parts).orElse(0);
    return IntStream.range(0, parts)
        .mapToObj(index -> owner.account(new LimitPart(organisation, index)))
        .flatMap(Optional::stream)
        .map(OwnerAccount::bucket)
        .mapToLong(bucket -> bucket.levelNanos() + bucket.outstandingNanos())
        .map(nanos -> nanos / RateLimit.NANOS_PER_TOKEN)
        .sum();
  }

  private void send(VmId to, LimitMessage.Ask ask) {
    if (to.equals(self)) {
      answer(self, ask);
    } else {
      transport.send(to, ask);
    }
  }

  private void answer(VmId from, LimitMessage.Ask ask) {
    LimitMessage.Answer answer = owner.answer(from, ask);
    if (ask.wants().isEmpty()) {
      return;
    }
    if (from.equals(self)) {
      holder.receive(self, answer);
    } else {
      transport.send(from, answer);
    }
  }

  private void sweep() {
    owner.sweep();
    holder.sweep();
  }
}
