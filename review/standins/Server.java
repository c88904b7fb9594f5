import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service on loopback. What it does with a request is up to its handler. */
final class Server {
  /** A channel of a gateway. */
  static final class Channel {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    /** Bytes of no request that go out where the next answer is due. */
    byte[] extra = {};

    private Channel(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
    }

    void write(String text) throws IOException {
      out.write(Review.bytes(text));
      out.flush();
    }

    /** Closes the channel so that the other side sees a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Handles a request whose head has been read; returns whether the channel is kept. */
  interface Handler {
    boolean handle(Channel channel, Http.Head head) throws Exception;
  }

  final String id;
  final String service;
  final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Review review;
  private final Handler handler;
  private final ServerSocket listener;

  Server(Review review, String id, String service, int receiveBuffer, Handler handler) throws IOException {
    this.review = review;
    this.id = id;
    this.service = service;
    this.handler = handler;
    this.listener = new ServerSocket();
    if (receiveBuffer > 0) {
      listener.setReceiveBufferSize(receiveBuffer);
    }
    listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    Review.daemon(this::accept);
  }

  /** Accepts no further channels. */
  void stop() throws IOException {
    listener.close();
  }

  int port() {
    return listener.getLocalPort();
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Review.daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Channel channel = new Channel(socket);
      for (Http.Head head = Http.readHead(channel.in); head != null; head = Http.readHead(channel.in)) {
        String target = head.header("@-Target-Instance");
        if (!target.isEmpty() && !target.equals(id)) {
          Http.readBody(channel.in, head, false, (bytes, length) -> {});
          channel.write(
              "HTTP/1.1 421 Misdirected Request\r\n@-Request-Id: "
                  + head.header("@-Request-Id")
                  + "\r\n@-Not-Executed: 1\r\n@-Instance-Id: " + id
                  + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!handler.handle(channel, head)) {
          return;
        }
      }
    } catch (Exception e) {
      // The gateway has closed the channel.
    }
  }

  /** Records that the request begins to run. */
  int ran(Http.Head head) {
    String request = head.header("@-Request-Id");
    int count = runs.computeIfAbsent(request, name -> new AtomicInteger()).incrementAndGet();
    review.note("server " + id + ": runs " + request + " " + head.start());
    return count;
  }

  /** The headers that each answer of a server to the request carries. */
  static String headers(Http.Head head, String seal) {
    return "@-Request-Id: " + head.header("@-Request-Id")
        + "\r\n@-Server-Seal: " + seal + "\r\nKeep-Alive: timeout=5\r\n";
  }

  /** Health answer of a sound server. */
  boolean health(Channel channel, Http.Head head) throws IOException {
    if (!head.target().equals("/health")) {
      return false;
    }
    channel.write("HTTP/1.1 200 OK\r\n@-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
}
