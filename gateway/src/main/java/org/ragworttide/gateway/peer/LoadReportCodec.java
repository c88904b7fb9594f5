package org.ragworttide.gateway.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.ragworttide.coordination.placement.LoadReport;

/**
 * Encodes reports of upstreams as {@link PeerStatement} describes. Stateless, safe for use by any
 * thread.
 */
final class LoadReportCodec {
  private static final int BYTES = Integer.BYTES + Byte.BYTES + Short.BYTES;
  private static final int MAX_REQUESTS = 0xff;

  private LoadReportCodec() {}

  static byte[] bytes(List<LoadReport> reports) {
    ByteBuffer out = ByteBuffer.allocate(reports.size() * BYTES);
    for (LoadReport report : reports) {
      out.putInt(report.upstream())
          .put((byte) Math.min(report.requests(), MAX_REQUESTS))
          .putShort(StatedAge.encode(report.atMillis()));
    }
    return out.array();
  }

  static List<LoadReport> reports(byte[] bytes) throws IOException {
    if (bytes.length % BYTES != 0) {
      throw new IOException("reports of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    List<LoadReport> reports = new ArrayList<>();
    while (in.hasRemaining()) {
      int upstream = in.getInt();
      int requests = Byte.toUnsignedInt(in.get());
      reports.add(new LoadReport(upstream, requests, StatedAge.decode(in)));
    }
    return reports;
  }
}
