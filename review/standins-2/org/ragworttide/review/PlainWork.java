package org.ragworttide.review;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Works for a while and answers; keeps when each request arrived at each server. */
final class PlainWork implements Upstream.Work {
  private final Journal journal;
  private final long workMillis;
  private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();
  private final Map<String, String> ranAt = new ConcurrentHashMap<>();

  PlainWork(Journal journal, long workMillis) {
    this.journal = journal;
    this.workMillis = workMillis;
  }

  /** Returns when requests arrived at a server. */
  List<Long> arrivals(String server) {
    List<Long> all = arrivals.getOrDefault(server, List.of());
    synchronized (all) {
      return new ArrayList<>(all);
    }
  }

  /** Returns whether a request was run to its end. */
  boolean hasRun(String requestId) {
    return ranAt.containsKey(requestId);
  }

  /** Records the arrival of a request and returns the arrivals of the last second. */
  int arrive(Upstream server, Message request) {
    long now = journal.now();
    journal.add("server %s: gets %s", server.id(), request.header(Wire.name("requestId")));
    List<Long> all = arrivals.computeIfAbsent(server.id(), key -> new ArrayList<>());
    synchronized (all) {
      all.add(now);
      return (int) all.stream().filter(at -> now - at < 1_000).count();
    }
  }

  @Override
  public void run(Upstream server, Message request, OutputStream out) throws Exception {
    arrive(server, request);
    answer(server, request, out, "");
  }

  /** Works and answers with success. */
  void answer(Upstream server, Message request, OutputStream out, String headers) throws Exception {
    Io.sleep(workMillis);
    ranAt.put(request.header(Wire.name("requestId")), server.id());
    Io.write(out, server.head(request, "200 OK") + headers + "Content-Length: 2\r\n\r\nok");
  }

  /** Returns the largest number of arrivals within a span that lies between two times. */
  static int most(List<Long> arrivals, long fromMillis, long toMillis, long spanMillis) {
    List<Long> sorted =
        arrivals.stream().filter(at -> at >= fromMillis && at <= toMillis).sorted().toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= spanMillis) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
