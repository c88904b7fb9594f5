package org.ragworttide.daemon;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Test upstream on a loopback socket that answers every request with a script. */
final class ScriptedUpstream implements AutoCloseable {
  private final ServerSocket listener;
  private final Script script;
  private final List<Received> received = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger disconnects = new AtomicInteger();
  private final AtomicInteger firstBytes = new AtomicInteger();
  private final AtomicBoolean resetOnFirstByte = new AtomicBoolean();

  ScriptedUpstream(Script script) {
    this.script = script;
    try {
      this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    Thread.ofVirtual().start(this::accept);
  }

  /** Answers one request. */
  interface Script {
    void answer(Exchange exchange) throws IOException;
  }

  /** A received request. */
  record Received(String line, Map<String, String> headers, String body) {}

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  List<Received> received() {
    return received;
  }

  int connections() {
    return sockets.size();
  }

  /** Makes each later request fail with a connection reset after its first byte. */
  void resetOnFirstByte() {
    resetOnFirstByte.set(true);
  }

  /** Returns the number of requests reset after the first byte. */
  int firstBytes() {
    return firstBytes.get();
  }

  int disconnects() {
    return disconnects.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listener was closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        in.mark(1);
        int first = in.read();
        if (first >= 0 && resetOnFirstByte.get()) {
          firstBytes.incrementAndGet();
          socket.setSoLinger(true, 0);
          return;
        }
        in.reset();
        Received request = read(in);
        if (request == null) {
          return;
        }
        received.add(request);
        script.answer(new Exchange(socket, in, request));
      }
    } catch (IOException e) {
      disconnects.incrementAndGet();
    }
  }

  private static Received read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(header.substring(0, colon), header.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    byte[] body = in.readNBytes(length);
    return new Received(line, headers, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int b = in.read();
    if (b < 0) {
      return null;
    }
    while (b >= 0 && b != '\n') {
      line.write(b);
      b = in.read();
    }
    return line.toString(StandardCharsets.UTF_8).stripTrailing();
  }

  /** A request and its connection, with methods that write the answer. */
  record Exchange(Socket socket, InputStream in, Received request) {

    void whole(int status, String contentType, String body) throws IOException {
      write(
          "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s"
              .formatted(status, contentType, body.length(), body));
    }

    void json(String body) throws IOException {
      whole(200, "application/json", body);
    }

    void streamHead() throws IOException {
      write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              + "Transfer-Encoding: chunked\r\n\r\n");
    }

    void chunk(String text) throws IOException {
      write("%x\r\n%s\r\n".formatted(text.length(), text));
    }

    void event(String data) throws IOException {
      chunk("data: " + data + "\n\n");
    }

    void endStream() throws IOException {
      event("[DONE]");
      write("0\r\n\r\n");
    }

    void write(String text) throws IOException {
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Blocks until the other side has closed the connection. */
    void awaitDisconnect() throws IOException {
      if (in.read() < 0) {
        throw new IOException("connection closed by the client");
      }
      throw new IllegalStateException("unexpected byte");
    }
  }
}
