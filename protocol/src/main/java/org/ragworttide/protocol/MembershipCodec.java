package org.ragworttide.protocol;

import java.util.List;
import java.util.Optional;
import org.ragworttide.coordination.id.Incarnation;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.id.ZoneId;
import org.ragworttide.coordination.membership.VmEntry;
import org.ragworttide.coordination.membership.VmState;
import org.ragworttide.coordination.message.MembershipMessage;
import org.ragworttide.protocol.wire.ListEntry;
import org.ragworttide.protocol.wire.MembershipEnvelope;
import org.ragworttide.protocol.wire.MembershipProbe;
import org.ragworttide.protocol.wire.MembershipReply;
import org.ragworttide.protocol.wire.Suspicion;

/**
 * Converts membership messages to and from their Protocol Buffers form.
 *
 * <p>Invariant: decodes an envelope only if all its fields are valid. Stateless, safe for use by
 * any thread.
 */
public final class MembershipCodec {
  private static final int MAX_SUSPICIONS = 16;
  private static final int MAX_CHANGES = 16;
  private static final int MAX_ENTRIES = 4_096;

  private MembershipCodec() {}

  /** Encodes a message as an envelope. */
  public static MembershipEnvelope encode(MembershipMessage message) {
    MembershipEnvelope.Builder envelope = MembershipEnvelope.newBuilder();
    switch (message) {
      case MembershipMessage.Probe probe -> envelope.setProbe(toWire(probe));
      case MembershipMessage.Reply reply -> envelope.setReply(toWire(reply));
      case MembershipMessage.ListRequest request -> envelope.setListRequest(toWire(request));
      case MembershipMessage.ListChanges changes -> envelope.setListChanges(toWire(changes));
      case MembershipMessage.ListPage page -> envelope.setListPage(toWire(page));
    }
    return envelope.build();
  }

  /** Decodes an envelope; empty if a field is missing or out of range. */
  public static Optional<MembershipMessage> decode(MembershipEnvelope envelope) {
    return switch (envelope.getMessageCase()) {
      case PROBE -> fromWire(envelope.getProbe());
      case REPLY -> fromWire(envelope.getReply());
      case LIST_REQUEST -> fromWire(envelope.getListRequest());
      case LIST_CHANGES ->
          WireChecks.decodeAll(
                  envelope.getListChanges().getChangesList(),
                  MAX_CHANGES,
                  MembershipCodec::fromWire)
              .map(MembershipMessage.ListChanges::new);
      case LIST_PAGE -> fromWire(envelope.getListPage());
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static MembershipProbe toWire(MembershipMessage.Probe probe) {
    return MembershipProbe.newBuilder()
        .setIncarnation(probe.incarnation().value())
        .setProbeId(probe.probeId())
        .setListVersion(probe.listVersion())
        .addAllSuspicions(toWire(probe.suspicions()))
        .build();
  }

  private static MembershipReply toWire(MembershipMessage.Reply reply) {
    return MembershipReply.newBuilder()
        .setIncarnation(reply.incarnation().value())
        .setProbeId(reply.probeId())
        .setListVersion(reply.listVersion())
        .addAllSuspicions(toWire(reply.suspicions()))
        .build();
  }

  private static List<Suspicion> toWire(List<MembershipMessage.Suspicion> suspicions) {
    return suspicions.stream()
        .map(
            suspicion ->
                Suspicion.newBuilder()
                    .setVm(suspicion.vm().value())
                    .setIncarnation(suspicion.incarnation().value())
                    .build())
        .toList();
  }

  private static org.ragworttide.protocol.wire.ListRequest toWire(
      MembershipMessage.ListRequest request) {
    return org.ragworttide.protocol.wire.ListRequest.newBuilder()
        .setKnownVersion(request.knownVersion())
        .setPageVersion(request.pageVersion())
        .setPage(request.page())
        .build();
  }

  private static org.ragworttide.protocol.wire.ListChanges toWire(
      MembershipMessage.ListChanges changes) {
    var wire = org.ragworttide.protocol.wire.ListChanges.newBuilder();
    for (MembershipMessage.ListChange change : changes.changes()) {
      wire.addChangesBuilder()
          .setVersion(change.version())
          .addAllEntries(change.entries().stream().map(MembershipCodec::toWire).toList())
          .addAllRemoved(change.removed().stream().map(VmId::value).toList());
    }
    return wire.build();
  }

  private static org.ragworttide.protocol.wire.ListPage toWire(MembershipMessage.ListPage page) {
    return org.ragworttide.protocol.wire.ListPage.newBuilder()
        .setVersion(page.version())
        .setPage(page.page())
        .setPages(page.pages())
        .addAllEntries(page.entries().stream().map(MembershipCodec::toWire).toList())
        .build();
  }

  private static ListEntry toWire(VmEntry entry) {
    return ListEntry.newBuilder()
        .setVm(entry.id().value())
        .setZone(entry.zone().value())
        .setLeaving(entry.state() == VmState.LEAVING)
        .setAddress(entry.address())
        .build();
  }

  private static Optional<MembershipMessage> fromWire(MembershipProbe wire) {
    return suspicions(wire.getSuspicionsList())
        .map(
            suspicions ->
                new MembershipMessage.Probe(
                    new Incarnation(wire.getIncarnation()),
                    wire.getProbeId(),
                    wire.getListVersion(),
                    suspicions));
  }

  private static Optional<MembershipMessage> fromWire(MembershipReply wire) {
    return suspicions(wire.getSuspicionsList())
        .map(
            suspicions ->
                new MembershipMessage.Reply(
                    new Incarnation(wire.getIncarnation()),
                    wire.getProbeId(),
                    wire.getListVersion(),
                    suspicions));
  }

  private static Optional<MembershipMessage> fromWire(
      org.ragworttide.protocol.wire.ListRequest wire) {
    boolean isValid =
        wire.getKnownVersion() >= 0 && wire.getPageVersion() >= 0 && wire.getPage() >= 0;
    return isValid
        ? Optional.of(
            new MembershipMessage.ListRequest(
                wire.getKnownVersion(), wire.getPageVersion(), wire.getPage()))
        : Optional.empty();
  }

  private static Optional<MembershipMessage.ListChange> fromWire(
      org.ragworttide.protocol.wire.ListChange wire) {
    if (wire.getVersion() <= 0
        || wire.getRemovedCount() > MAX_ENTRIES
        || !wire.getRemovedList().stream().allMatch(WireChecks::isId)) {
      return Optional.empty();
    }
    List<VmId> removed = wire.getRemovedList().stream().map(VmId::new).toList();
    return WireChecks.decodeAll(wire.getEntriesList(), MAX_ENTRIES, MembershipCodec::fromWire)
        .map(entries -> new MembershipMessage.ListChange(wire.getVersion(), entries, removed));
  }

  private static Optional<MembershipMessage> fromWire(org.ragworttide.protocol.wire.ListPage wire) {
    if (wire.getVersion() <= 0 || wire.getPage() < 0 || wire.getPages() <= wire.getPage()) {
      return Optional.empty();
    }
    return WireChecks.decodeAll(wire.getEntriesList(), MAX_ENTRIES, MembershipCodec::fromWire)
        .map(
            entries ->
                new MembershipMessage.ListPage(
                    wire.getVersion(), wire.getPage(), wire.getPages(), entries));
  }

  private static Optional<VmEntry> fromWire(ListEntry wire) {
    if (!WireChecks.isId(wire.getVm()) || !WireChecks.isId(wire.getZone())) {
      return Optional.empty();
    }
    VmState state = wire.getLeaving() ? VmState.LEAVING : VmState.LIVE;
    return Optional.of(
        new VmEntry(new VmId(wire.getVm()), new ZoneId(wire.getZone()), state, wire.getAddress()));
  }

  private static Optional<List<MembershipMessage.Suspicion>> suspicions(List<Suspicion> wires) {
    return WireChecks.decodeAll(
        wires,
        MAX_SUSPICIONS,
        wire ->
            Optional.of(wire.getVm())
                .filter(WireChecks::isId)
                .map(
                    vm ->
                        new MembershipMessage.Suspicion(
                            new VmId(vm), new Incarnation(wire.getIncarnation()))));
  }
}
