import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client's channel to a gateway, kept for many requests. */
final class Caller implements AutoCloseable {
  private static final AtomicInteger IDS = new AtomicInteger();

  /** What the client saw: status 0 if the channel ended or nothing came in time. */
  record Answer(String id, int status, String seal, byte[] body, boolean complete, String note) {
    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private final Review review;
  private final Review.Gateway gateway;
  private Socket socket;
  private InputStream in;

  Caller(Review review, Review.Gateway gateway) {
    this.review = review;
    this.gateway = gateway;
  }

  static String nextId() {
    return "c%08x".formatted(IDS.incrementAndGet() * 2_654_435_761L & 0xffffffffL);
  }

  Answer send(String id, String method, String path, byte[] body, int deadlineMs, String... headers) {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    Http.Head head = null;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(gateway.ip, gateway.callers), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout(deadlineMs + 2_000);
      StringBuilder start = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Review.HOST);
      start.append("\r\n@-Request-Id: ").append(id);
      start.append("\r\n@-Deadline-Ms: ").append(deadlineMs);
      start.append("\r\nAuthorization: Token ").append(Review.KEY);
      for (String header : headers) {
        start.append("\r\n").append(header);
      }
      if (body.length > 0) {
        start.append("\r\nContent-Length: ").append(body.length);
      }
      start.append("\r\n\r\n");
      review.note("client: sent " + id + " " + method + " " + path + " to " + gateway.ip);
      socket.getOutputStream().write(Review.bytes(start.toString()));
      socket.getOutputStream().write(body);
      head = Http.readHead(in);
      if (head == null) {
        throw new IOException("the channel was closed");
      }
      boolean complete = Http.readBody(in, head, true, (bytes, length) -> received.write(bytes, 0, length));
      if (head.header("Connection").equalsIgnoreCase("close")) {
        close();
      }
      return done(id, head, received, complete, "");
    } catch (IOException | RuntimeException e) {
      close();
      return done(id, head, received, false, e.toString());
    }
  }

  private Answer done(String id, Http.Head head, ByteArrayOutputStream received, boolean complete, String note) {
    int status = head == null ? 0 : head.status();
    String seal = head == null ? "" : head.header("@-Server-Seal");
    review.note(
        "client: answer to " + id + ": status " + status + ", " + received.size() + " bytes, "
            + (complete ? "complete" : "incomplete") + (seal.isEmpty() ? "" : ", seal " + seal)
            + (note.isEmpty() ? "" : ", " + note));
    return new Answer(id, status, seal, received.toByteArray(), complete, note);
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
      socket = null;
    }
  }
}
