package org.ragworttide.gateway.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.feed.FeedMember;
import org.ragworttide.coordination.feed.StorePosition;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.placement.LoadReport;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.placement.StatedLimit;
import org.ragworttide.coordination.placement.StatedTolerance;
import org.ragworttide.coordination.quarantine.Clearance;
import org.ragworttide.coordination.quarantine.CrashReport;
import org.ragworttide.coordination.quarantine.SuspicionStatement;
import org.ragworttide.coordination.zones.ZoneLosses;

/**
 * Statement that a VM sends to its peers: its requests in flight at each upstream, the VMs that it
 * knows, prompts that engines have cached, what it suspects of crashing upstreams, what upstreams
 * have stated to all VMs and the position of the store that it knows.
 *
 * <p>The encoding is that of protobuf, with these fields: 1 name, 2 incarnation, 3 sequence, 5
 * upstream keys, 6 requests, in the keys' order, 7 prompt parts, 8 the engines that have cached
 * them, in the parts' order, 11 zone key of the VM, 12 revision, 13 known VMs (8 bytes address, 4
 * bytes zone key, 1 byte seconds since it was heard), 14 crashes (4 bytes suspect, 4 bytes
 * upstream, 2 bytes age of the break in units of 10 ms, 2 bytes milliseconds from the sending of
 * the request to the break), 15 clearances (4 bytes suspect, 2 bytes age in units of 10 ms), 16
 * request limits (4 bytes upstream, 2 bytes age in units of 10 ms, 4 bytes thousandths of a request
 * per second, negative for none), 17 upstreams that are leaving (4 bytes), 18 era of the revision,
 * 19 reports of upstreams (each 4 bytes upstream, 1 byte requests, 2 bytes age in units of 10 ms),
 * 20 keys of zones that the VM cannot reach, 21 losses of callers (each 4 bytes service, 2 bytes
 * requests and 4 bytes milliseconds in the zone, and the same in others), 22 tolerances of
 * rejections (4 bytes service, 2 bytes age in units of 10 ms, 2 bytes rejections per second,
 * negative for none). Fields 9 and 10 are those of earlier builds; unknown fields, and bytes that
 * follow those of a limit, are ignored. Immutable, safe for use by any thread.
 *
 * @param vm the VM that sends the statement
 * @param incarnation distinguishes the VM's process runs
 * @param sequence number of the statement, which grows within an incarnation
 * @param zoneKey the key of its availability zone
 * @param position the position up to which it knows all changes of the store
 * @param known some of the VMs that it knows
 * @param inFlight numbers of its requests in flight by upstream key
 * @param holdings prompt parts that engines have recently cached for its requests
 * @param suspicions what it suspects of crashing upstreams; the times are relative to that of the
 *     statement, thus negative
 * @param limits request limits that upstreams have named; the times are relative as well
 * @param leaving keys of incarnations of upstreams that are leaving
 * @param reports reports of upstreams on their requests; the times are relative as well
 * @param unreachableZones keys of the availability zones that the VM cannot reach
 * @param losses what its callers have lost by waiting, by key of the service
 * @param tolerances rejections that the upstreams of services tolerate; the times are relative as
 *     well
 */
record PeerStatement(
    VmId vm,
    long incarnation,
    long sequence,
    int zoneKey,
    StorePosition position,
    List<KnownVm> known,
    Map<Integer, Integer> inFlight,
    List<PromptIndex.Holding> holdings,
    SuspicionStatement suspicions,
    List<StatedLimit> limits,
    List<Integer> leaving,
    List<LoadReport> reports,
    List<Integer> unreachableZones,
    Map<Integer, ZoneLosses> losses,
    List<StatedTolerance> tolerances) {
  private static final int VM = 1;
  private static final int INCARNATION = 2;
  private static final int SEQUENCE = 3;
  private static final int KEY = 5;
  private static final int COUNT = 6;
  private static final int PART = 7;
  private static final int HOLDER = 8;
  private static final int ZONE = 11;
  private static final int REVISION = 12;
  private static final int KNOWN = 13;
  private static final int CRASH = 14;
  private static final int CLEARANCE = 15;
  private static final int LIMIT = 16;
  private static final int LEAVING = 17;
  private static final int ERA = 18;
  private static final int REPORTS = 19;
  private static final int UNREACHABLE = 20;
  private static final int LOSSES = 21;
  private static final int TOLERANCE = 22;
  private static final int KNOWN_BYTES = Long.BYTES + Integer.BYTES + 1;
  private static final int MAX_SILENT_SECONDS = 255;

  /**
   * A VM that the sender knows.
   *
   * <p>Immutable, safe for use by any thread.
   *
   * @param member its address and zone
   * @param silentSeconds seconds since any VM has received a statement from it, as far as the
   *     sender knows
   */
  record KnownVm(FeedMember member, int silentSeconds) {}

  PeerStatement {
    known = List.copyOf(known);
    inFlight = Map.copyOf(inFlight);
    holdings = List.copyOf(holdings);
    limits = List.copyOf(limits);
    leaving = List.copyOf(leaving);
    reports = List.copyOf(reports);
    unreachableZones = List.copyOf(unreachableZones);
    losses = Map.copyOf(losses);
    tolerances = List.copyOf(tolerances);
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    try {
      out.writeString(VM, vm.value());
      out.writeUInt64(INCARNATION, incarnation);
      out.writeUInt64(SEQUENCE, sequence);
      out.writeFixed32(ZONE, zoneKey);
      out.writeUInt64(REVISION, position.revision());
      out.writeUInt64(ERA, position.era());
      for (KnownVm vm : known) {
        out.writeByteArray(KNOWN, bytes(vm));
      }
      for (Map.Entry<Integer, Integer> entry : inFlight.entrySet()) {
        out.writeFixed32(KEY, entry.getKey());
        out.writeUInt32(COUNT, entry.getValue());
      }
      for (PromptIndex.Holding holding : holdings) {
        out.writeFixed32(PART, holding.part());
        out.writeFixed32(HOLDER, holding.engine());
      }
      for (CrashReport report : suspicions.reports()) {
        out.writeByteArray(CRASH, SuspicionCodec.bytes(report));
      }
      for (Clearance clearance : suspicions.clearances()) {
        out.writeByteArray(CLEARANCE, SuspicionCodec.bytes(clearance));
      }
      for (StatedLimit limit : limits) {
        out.writeByteArray(LIMIT, LimitCodec.bytes(limit));
      }
      for (int upstream : leaving) {
        out.writeFixed32(LEAVING, upstream);
      }
      if (!reports.isEmpty()) {
        out.writeByteArray(REPORTS, LoadReportCodec.bytes(reports));
      }
      for (int zone : unreachableZones) {
        out.writeFixed32(UNREACHABLE, zone);
      }
      if (!losses.isEmpty()) {
        out.writeByteArray(LOSSES, ZoneLossCodec.bytes(losses));
      }
      for (StatedTolerance tolerance : tolerances) {
        out.writeByteArray(TOLERANCE, ToleranceCodec.bytes(tolerance));
      }
      out.flush();
    } catch (IOException e) {
      throw new IllegalStateException("writing to a byte array failed", e);
    }
    return bytes.toByteArray();
  }

  /** Returns the decoded statement, empty if the bytes are malformed. */
  static Optional<PeerStatement> decode(byte[] bytes) {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    String name = "";
    long incarnation = 0;
    long sequence = 0;
    int zoneKey = 0;
    long era = 0;
    long revision = 0;
    List<KnownVm> known = new ArrayList<>();
    Map<Integer, Integer> inFlight = new HashMap<>();
    List<PromptIndex.Holding> holdings = new ArrayList<>();
    int key = 0;
    List<CrashReport> crashes = new ArrayList<>();
    List<Clearance> clearances = new ArrayList<>();
    List<StatedLimit> limits = new ArrayList<>();
    List<Integer> leaving = new ArrayList<>();
    List<LoadReport> reports = new ArrayList<>();
    List<Integer> unreachableZones = new ArrayList<>();
    Map<Integer, ZoneLosses> losses = new HashMap<>();
    List<StatedTolerance> tolerances = new ArrayList<>();
    int part = 0;
    try {
      for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
        switch (WireFormat.getTagFieldNumber(tag)) {
          case VM -> name = in.readString();
          case INCARNATION -> incarnation = in.readUInt64();
          case SEQUENCE -> sequence = in.readUInt64();
          case ZONE -> zoneKey = in.readFixed32();
          case REVISION -> revision = in.readUInt64();
          case ERA -> era = in.readUInt64();
          case KNOWN -> known.add(knownVm(in.readByteArray()));
          case KEY -> key = in.readFixed32();
          case COUNT -> inFlight.put(key, in.readUInt32());
          case PART -> part = in.readFixed32();
          case HOLDER -> holdings.add(new PromptIndex.Holding(part, in.readFixed32()));
          case CRASH -> crashes.add(SuspicionCodec.report(in.readByteArray()));
          case CLEARANCE -> clearances.add(SuspicionCodec.clearance(in.readByteArray()));
          case LIMIT -> limits.add(LimitCodec.limit(in.readByteArray()));
          case LEAVING -> leaving.add(in.readFixed32());
          case REPORTS -> reports.addAll(LoadReportCodec.reports(in.readByteArray()));
          case UNREACHABLE -> unreachableZones.add(in.readFixed32());
          case LOSSES -> losses.putAll(ZoneLossCodec.losses(in.readByteArray()));
          case TOLERANCE -> tolerances.add(ToleranceCodec.tolerance(in.readByteArray()));
          default -> in.skipField(tag);
        }
      }
      return Optional.of(
          new PeerStatement(
              new VmId(name),
              incarnation,
              sequence,
              zoneKey,
              new StorePosition(era, revision),
              known,
              inFlight,
              holdings,
              new SuspicionStatement(crashes, clearances),
              limits,
              leaving,
              reports,
              unreachableZones,
              losses,
              tolerances));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] bytes(KnownVm vm) {
    return ByteBuffer.allocate(KNOWN_BYTES)
        .putLong(vm.member().address())
        .putInt(vm.member().zoneKey())
        .put((byte) Math.min(MAX_SILENT_SECONDS, vm.silentSeconds()))
        .array();
  }

  private static KnownVm knownVm(byte[] bytes) throws IOException {
    if (bytes.length != KNOWN_BYTES) {
      throw new IOException("a known VM takes " + KNOWN_BYTES + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    return new KnownVm(new FeedMember(in.getLong(), in.getInt()), Byte.toUnsignedInt(in.get()));
  }
}
