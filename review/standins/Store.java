import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, pages and watches as PROTOCOL.md describes them, without faults. */
final class Store {
  private static final int PAGE_ITEMS = 500;

  private record Write(String key, long revision, long created, byte[] value) {}

  private final TreeMap<String, Write> items = new TreeMap<>();
  private final List<Write> history = new ArrayList<>();
  private final ServerSocket listener;
  private long revision = 100;

  Store() throws IOException {
    listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    Review.daemon(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  synchronized long put(String key, String value) {
    return put(key, value.getBytes(StandardCharsets.UTF_8));
  }

  synchronized long put(String key, byte[] value) {
    Write known = items.get(key);
    Write write = new Write(key, ++revision, known == null ? revision : known.created(), value);
    items.put(key, write);
    history.add(write);
    notifyAll();
    return revision;
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Write(key, ++revision, 0, null));
      notifyAll();
    }
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
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        Http.readBody(in, head, false, (bytes, length) -> {});
        String body = answer(head.target());
        String status = body == null ? "404 Not Found" : body.isEmpty() ? "410 Gone" : "200 OK";
        byte[] content = (body == null ? "" : body).getBytes(StandardCharsets.UTF_8);
        String start =
            "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length
                + "\r\n\r\n";
        socket.getOutputStream().write((start + new String(content, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
      }
    } catch (IOException | InterruptedException e) {
      // The reader has closed its channel.
    }
  }

  private String answer(String target) throws InterruptedException {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    String prefix = query.getOrDefault("pathPrefix", "");
    if (path.equals(Names.of("item"))) {
      return key(query.getOrDefault("key", ""));
    }
    if (path.equals(Names.of("range"))) {
      return range(prefix, query.getOrDefault("after", ""));
    }
    return path.equals(Names.of("watch"))
        ? watch(
            prefix,
            Long.parseLong(query.getOrDefault("after", "0")),
            Long.parseLong(query.getOrDefault("waitMs", "0")))
        : null;
  }

  private synchronized String key(String key) {
    Write write = items.get(key);
    if (write == null) {
      return null;
    }
    Map<String, Object> item = item(write);
    item.put("storeRevision", revision);
    return Json.text(item);
  }

  private synchronized String range(String prefix, String after) {
    List<Object> page = new ArrayList<>();
    boolean more = false;
    for (Write write : items.tailMap(prefix).values()) {
      if (!write.key().startsWith(prefix)) {
        break;
      }
      if (write.key().compareTo(after) <= 0) {
        continue;
      }
      if (page.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      page.add(item(write));
    }
    return Json.text(Json.map("items", page, "hasMore", more, "storeRevision", revision));
  }

  private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
    long until = System.nanoTime() + Math.min(30_000, waitMillis) * 1_000_000;
    while (true) {
      List<Object> events = new ArrayList<>();
      for (Write write : history) {
        if (write.revision() > after && write.key().startsWith(prefix)) {
          events.add(
              write.value() == null
                  ? Json.map("key", write.key(), "revision", write.revision(), "deleted", true)
                  : item(write));
        }
      }
      long millis = (until - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || millis <= 0) {
        return Json.text(Json.map("events", events, "storeRevision", revision));
      }
      wait(millis);
    }
  }

  private static Map<String, Object> item(Write write) {
    return Json.map(
        "key", write.key(),
        "value", Base64.getEncoder().encodeToString(write.value()),
        "revision", write.revision(),
        "created", write.created(),
        "lease", 0);
  }
}
