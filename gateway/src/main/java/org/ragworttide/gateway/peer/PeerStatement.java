package org.ragworttide.gateway.peer;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ragworttide.coordination.id.VmId;
import org.ragworttide.coordination.placement.PromptIndex;
import org.ragworttide.coordination.quarantine.CrashSuspicions;

/**
 * Statement that a VM sends to its peers: its requests in flight at each upstream, the VMs that it
 * knows, prompts that engines have cached and crashes of upstreams.
 *
 * <p>The encoding is that of protobuf, with these fields: 1 name, 2 incarnation, 3 sequence, 4
 * addresses of VMs (IPv4 and port), 5 upstream keys, 6 requests, in the keys' order, 7 prompt
 * parts, 8 the engines that have cached them, in the parts' order, 9 fingerprints of requests, 10
 * the upstreams that crashed while running them, in the requests' order. Immutable, safe for use by
 * any thread.
 *
 * @param vm the VM that sends the statement
 * @param incarnation distinguishes the VM's process runs
 * @param sequence number of the statement, which grows within an incarnation
 * @param known addresses of VMs from which it has recently received statements or whose addresses
 *     it has received
 * @param inFlight numbers of its requests in flight by upstream key
 * @param holdings prompt parts that engines have recently cached for its requests
 * @param crashes upstreams that recently crashed while running its requests
 */
record PeerStatement(
    VmId vm,
    long incarnation,
    long sequence,
    List<InetSocketAddress> known,
    Map<Integer, Integer> inFlight,
    List<PromptIndex.Holding> holdings,
    List<CrashSuspicions.Crash> crashes) {
  private static final int VM = 1;
  private static final int INCARNATION = 2;
  private static final int SEQUENCE = 3;
  private static final int KNOWN = 4;
  private static final int KEY = 5;
  private static final int COUNT = 6;
  private static final int PART = 7;
  private static final int HOLDER = 8;
  private static final int FINGERPRINT = 9;
  private static final int CRASHED = 10;
  private static final int IPV4_BYTES = 4;

  PeerStatement {
    known = List.copyOf(known);
    inFlight = Map.copyOf(inFlight);
    holdings = List.copyOf(holdings);
    crashes = List.copyOf(crashes);
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    try {
      out.writeString(VM, vm.value());
      out.writeUInt64(INCARNATION, incarnation);
      out.writeUInt64(SEQUENCE, sequence);
      for (InetSocketAddress address : known) {
        out.writeByteArray(KNOWN, bytes(address));
      }
      for (Map.Entry<Integer, Integer> entry : inFlight.entrySet()) {
        out.writeFixed32(KEY, entry.getKey());
        out.writeUInt32(COUNT, entry.getValue());
      }
      for (PromptIndex.Holding holding : holdings) {
        out.writeFixed32(PART, holding.part());
        out.writeFixed32(HOLDER, holding.engine());
      }
      for (CrashSuspicions.Crash crash : crashes) {
        out.writeFixed64(FINGERPRINT, crash.fingerprint());
        out.writeFixed32(CRASHED, crash.upstream());
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
    List<InetSocketAddress> known = new ArrayList<>();
    Map<Integer, Integer> inFlight = new HashMap<>();
    List<PromptIndex.Holding> holdings = new ArrayList<>();
    int key = 0;
    List<CrashSuspicions.Crash> crashes = new ArrayList<>();
    int part = 0;
    long fingerprint = 0;
    try {
      for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
        switch (WireFormat.getTagFieldNumber(tag)) {
          case VM -> name = in.readString();
          case INCARNATION -> incarnation = in.readUInt64();
          case SEQUENCE -> sequence = in.readUInt64();
          case KNOWN -> known.add(address(in.readByteArray()));
          case KEY -> key = in.readFixed32();
          case COUNT -> inFlight.put(key, in.readUInt32());
          case PART -> part = in.readFixed32();
          case HOLDER -> holdings.add(new PromptIndex.Holding(part, in.readFixed32()));
          case FINGERPRINT -> fingerprint = in.readFixed64();
          case CRASHED -> crashes.add(new CrashSuspicions.Crash(fingerprint, in.readFixed32()));
          default -> in.skipField(tag);
        }
      }
      return Optional.of(
          new PeerStatement(
              new VmId(name), incarnation, sequence, known, inFlight, holdings, crashes));
    } catch (IOException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static byte[] bytes(InetSocketAddress address) {
    byte[] ip = address.getAddress().getAddress();
    byte[] all = new byte[ip.length + 2];
    System.arraycopy(ip, 0, all, 0, ip.length);
    all[ip.length] = (byte) (address.getPort() >> Byte.SIZE);
    all[ip.length + 1] = (byte) address.getPort();
    return all;
  }

  private static InetSocketAddress address(byte[] bytes) throws IOException {
    if (bytes.length != IPV4_BYTES + 2) {
      throw new IOException("not an IPv4 address and port");
    }
    byte[] ip = java.util.Arrays.copyOf(bytes, IPV4_BYTES);
    int port = (bytes[IPV4_BYTES] & 0xff) << Byte.SIZE | bytes[IPV4_BYTES + 1] & 0xff;
    return new InetSocketAddress(InetAddress.getByAddress(ip), port);
  }
}
