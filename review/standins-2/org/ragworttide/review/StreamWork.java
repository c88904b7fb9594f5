package org.ragworttide.review;

import java.io.OutputStream;

/** Answers with a stream of events, each of which names the version and the server. */
record StreamWork(Journal journal, int events, long gapMillis) implements Upstream.Work {
  @Override
  public void run(Upstream server, Message request, OutputStream out) throws Exception {
    String after = request.header(Wire.name("resumeAfter"));
    int next = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
    journal.add(
        "server %s (%s): runs %s from event %d",
        server.id(), server.version(), request.header(Wire.name("requestId")), next);
    Io.write(
        out,
        server.head(request, "200 OK")
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (; next <= events; next++) {
      Io.sleep(gapMillis);
      String event = "id: " + next + "\ndata: " + server.version() + " " + server.id() + "\n\n";
      Io.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    Io.write(out, "0\r\n\r\n");
  }
}
