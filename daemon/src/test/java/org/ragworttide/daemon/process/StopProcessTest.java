package org.ragworttide.daemon.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.ragworttide.fakes.FakeEngine;
import org.testng.annotations.Test;

/** Tests that a daemon that receives SIGTERM finishes its answers and exits by itself. */
public class StopProcessTest {
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
  private static final String BODY =
      "{\"model\":\"repair\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";

  @Test
  public void streamThatRunsAtSigtermIsReceivedToItsLastChunk() throws Exception {
    try (DaemonProcesses fleet = new DaemonProcesses()) {
      List<FakeEngine> engines = fleet.fakes().engines();
      fleet.publish(1, TestDocuments.orders(1, engines.get(0).port(), engines.get(1).port()));
      DaemonProcesses.await(() -> fleet.chat(0, "repair").join().status() == 200);
      engines.forEach(it -> it.pace(15, 200, 0));
      try (Socket caller = fleet.connect(0)) {
        caller.getOutputStream().write(request());
        InputStream in = new BufferedInputStream(caller.getInputStream());
        String begin = readUntil(in, "data:");
        assertTrue(begin.contains("200 OK"), begin);
        fleet.terminate(0);
        String end = readUntil(in, LAST_CHUNK);
        assertTrue(end.endsWith(LAST_CHUNK), end);
      }
      assertEquals(fleet.awaitExit(0), 0);
    }
  }

  private static byte[] request() {
    String head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
            + DaemonProcesses.KEY
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + BODY.length()
            + "\r\n\r\n";
    return (head + BODY).getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads up to and including the text, or to the end of the connection. */
  private static String readUntil(InputStream in, String text) throws IOException {
    StringBuilder read = new StringBuilder();
    while (read.indexOf(text, read.length() - text.length()) < 0) {
      int next = in.read();
      if (next < 0) {
        return read.append("<end>").toString();
      }
      read.append((char) next);
    }
    return read.toString();
  }
}
