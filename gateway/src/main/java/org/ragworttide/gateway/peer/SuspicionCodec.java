package org.ragworttide.gateway.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import org.ragworttide.coordination.quarantine.Clearance;
import org.ragworttide.coordination.quarantine.CrashReport;
import org.ragworttide.coordination.quarantine.Suspect;

/**
 * Encodes reports and clearances, whose times are relative to that of their statement, as {@link
 * PeerStatement} describes. Stateless, safe for use by any thread.
 */
final class SuspicionCodec {
  private static final int REPORT_HEAD_BYTES = Integer.BYTES + 2 * Short.BYTES;
  private static final int CLEARANCE_BYTES = Integer.BYTES + Short.BYTES;

  private SuspicionCodec() {}

  static byte[] bytes(CrashReport report) {
    ByteBuffer out =
        ByteBuffer.allocate(REPORT_HEAD_BYTES + Integer.BYTES * report.suspects().size())
            .putInt(report.upstream())
            .putShort(StatedAge.encode(report.brokenAtMillis()))
            .putShort(StatedAge.unsignedShort(report.brokenAtMillis() - report.sentAtMillis()));
    report.suspects().forEach(suspect -> out.putInt(suspect.id()));
    return out.array();
  }

  static byte[] bytes(Clearance clearance) {
    return ByteBuffer.allocate(CLEARANCE_BYTES)
        .putInt(clearance.suspect().id())
        .putShort(StatedAge.encode(clearance.answeredAtMillis()))
        .array();
  }

  static CrashReport report(byte[] bytes) throws IOException {
    int suspectBytes = bytes.length - REPORT_HEAD_BYTES;
    if (suspectBytes < Integer.BYTES || suspectBytes % Integer.BYTES != 0) {
      throw new IOException("a report of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    int upstream = in.getInt();
    long brokenAtMillis = StatedAge.decode(in);
    long sentAtMillis = brokenAtMillis - Short.toUnsignedInt(in.getShort());
    Set<Suspect> suspects = new HashSet<>();
    while (in.hasRemaining()) {
      suspects.add(new Suspect(in.getInt()));
    }
    return new CrashReport(suspects, upstream, sentAtMillis, brokenAtMillis);
  }

  static Clearance clearance(byte[] bytes) throws IOException {
    if (bytes.length != CLEARANCE_BYTES) {
      throw new IOException("a clearance of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    return new Clearance(new Suspect(in.getInt()), StatedAge.decode(in));
  }
}
