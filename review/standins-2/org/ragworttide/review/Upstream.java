package org.ragworttide.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server of a service. It answers 421 if another instance is expected, serves its health path at
 * once, and passes all other requests to its work.
 */
final class Upstream implements AutoCloseable {
  /** What a server does with a request. */
  interface Work {
    void run(Upstream upstream, Message request, OutputStream out) throws Exception;
  }

  private final Journal journal;
  private final String id;
  private final String service;
  private final String zone;
  private final String version;
  private final Work work;
  private final ServerSocket listener;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private volatile long coldUntilMillis;

  Upstream(
      Journal journal, String ip, String id, String service, String zone, String version, Work work)
      throws IOException {
    this.journal = journal;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.version = version;
    this.work = work;
    listener = new ServerSocket(0, 512, InetAddress.getByName(ip));
    Thread.ofVirtual().start(this::accept);
  }

  String id() {
    return id;
  }

  String version() {
    return version;
  }

  int running() {
    return running.get();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Becomes cold for some time. */
  void becomeCold(long millis) {
    coldUntilMillis = System.currentTimeMillis() + millis;
    journal.say("server %s: cold for %d ms", id, millis);
  }

  boolean isCold() {
    return System.currentTimeMillis() < coldUntilMillis;
  }

  /** Returns what the server writes into the store. */
  String entry(String state, int slots, long bornMillis, int sequence) {
    return String.format(
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\","
            + "\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":%d,\"born\":%d,\"seq\":%d}",
        service,
        address().getAddress().getHostAddress(),
        address().getPort(),
        zone,
        version,
        slots,
        state,
        Math.max(0, coldUntilMillis - System.currentTimeMillis()),
        bornMillis,
        sequence);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket channel = listener.accept();
        channels.add(channel);
        Thread.ofVirtual().start(() -> serve(channel));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket channel) {
    try (channel) {
      InputStream in = Io.buffered(channel);
      OutputStream out = channel.getOutputStream();
      for (Message request = Message.read(in); request != null; request = Message.read(in)) {
        request.body(in);
        handle(request, out);
      }
    } catch (Exception e) {
      journal.add("server %s: channel ended, %s", id, e.getMessage());
    } finally {
      channels.remove(channel);
    }
  }

  private void handle(Message request, OutputStream out) throws Exception {
    if (request.path().startsWith("/health")) {
      Io.write(out, head(request, "200 OK") + "Content-Length: 0\r\n\r\n");
      return;
    }
    String target = request.header(Wire.name("target"));
    if (!target.isEmpty() && !target.equals(id)) {
      Io.write(out, head(request, "421 Misdirected Request") + "Content-Length: 0\r\n\r\n");
      return;
    }
    running.incrementAndGet();
    try {
      work.run(this, request, out);
    } finally {
      running.decrementAndGet();
    }
  }

  /** Returns the beginning of an answer, with the headers that each answer has. */
  String head(Message request, String status) {
    String seal = status.startsWith("2") ? Wire.name("seal") + ": " + id + ".1\r\n" : "";
    String cold =
        isCold()
            ? Wire.name("coldLeft") + ": " + (coldUntilMillis - System.currentTimeMillis()) + "\r\n"
            : "";
    return "HTTP/1.1 "
        + status
        + "\r\n"
        + Wire.name("requestId")
        + ": "
        + request.header(Wire.name("requestId"))
        + "\r\n"
        + Wire.name("instance")
        + ": "
        + id
        + "\r\n"
        + seal
        + cold
        + "Keep-Alive: timeout=10\r\n";
  }

  /** Ends without a word: the listener is gone and all channels are reset. */
  void crash() {
    journal.say("server %s: ends", id);
    try {
      listener.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    channels.forEach(Io::reset);
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // It is closed already.
    }
    channels.forEach(Io::close);
  }
}
